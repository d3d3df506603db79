// Messages between nodes. Each frame on a peer connection holds one Frame, and
// each membership datagram holds one Gossip.
namespace py savorystand.wire.gen.wire

// Load of a target, which its node reports with each response and refusal.
struct Load {
  1: required i32 in_flight,
  2: required i32 queued,
  3: required i32 limit,
  // Lowest importance rank that the node admits at present.
  4: required i16 admitted_rank,
  // Expected queueing plus service time of a new call, in milliseconds.
  5: required i32 expected_ms,
  // The target is much slower than usual.
  6: optional bool slow,
  // Calls below this rank are refused or delayed, at this target or at a pool
  // that the route of the answered call depends on.
  7: optional i16 pressed_rank,
  // Calls that the target takes from all nodes in 1,000 s; unset without a
  // limit. Frames hold no floating-point numbers.
  8: optional i64 rate_limit_milli,
  // Set once the target leaves: its instance id and the wall time of its start.
  9: optional string leaving_instance,
  10: optional i64 leaving_started_ms,
}

// Load report that a node sends unsolicited on open connections of its callers.
struct LoadPush {
  1: required Load load,
}

struct CallContext {
  1: required string request_id,
  2: required string execution_id,
  3: required i32 remaining_ms,
  4: required i16 retries_left,
  5: required i16 rank,
}

struct Hello {
  1: required string node_id,
  2: required i32 version,
  3: required string address,
}

// What a caller remembers of the target at an address. It is sent to a node
// that has restarted there since.
struct TargetHint {
  // As in Load.
  1: optional i64 rate_limit_milli,
  // Incarnation that has said that it leaves.
  2: optional string left_instance,
  3: optional i64 left_started_ms,
}

struct CallStart {
  1: required i64 stream,
  2: required CallContext context,
  3: required string route,
  4: required string method,
  5: required string path,
  // Alternating names and values of the headers.
  6: required list<string> headers,
  7: required binary body,
  8: required bool last,
  // Set when the call is forwarded to the home node of its idempotency key.
  9: optional bool to_home,
  10: required i64 body_size,
  11: optional string key,
  // Number of the caller's attempt at the request, counted from 1.
  12: optional i32 attempt,
  // Pool that the caller expects the target to serve.
  13: optional string pool,
  14: optional TargetHint hint,
}

struct BodyChunk {
  1: required i64 stream,
  2: required binary body,
  3: required bool last,
}

struct AnswerStart {
  1: required i64 stream,
  2: required i32 status,
  // Alternating names and values of the headers.
  3: required list<string> headers,
  4: required binary body,
  5: required bool last,
  6: required i16 retries_left,
  7: required Load load,
  8: required i64 body_size,
}

struct Refused {
  1: required i64 stream,
  2: required bool may_have_run,
  3: required string reason,
  4: required string detail,
  5: required i32 retry_after_ms,
  6: required i16 retries_left,
  7: optional Load load,
  // The failure happened further down the chain, where the retries were
  // already spent.
  8: optional bool from_below,
  // The reason is the rate limit of the target. ``reason`` is then 'overloaded',
  // which nodes of earlier versions know.
  9: optional bool rate_limited,
}

struct Cancel {
  1: required i64 stream,
}

struct Ping {
  1: required i64 sequence,
}

struct Pong {
  1: required i64 sequence,
}

struct Member {
  1: required string node_id,
  2: required i64 started_ms,
  3: required i64 version,
  4: required i16 state,
  5: required string host,
  6: required i32 port,
  7: required string failure_domain,
  8: required string region,
  9: required string pool,
  10: required i64 revision,
}

struct TablesPull {
  1: required i64 known_revision,
  // Requested part, counted from 0, and the revision of the parts received
  // before; revision 0 requests the newest one.
  2: optional i32 part,
  3: optional i64 revision,
}

struct TablesPush {
  1: required i64 revision,
  // Slices of the two table texts that this part carries.
  2: required string routes,
  3: required string pools,
  4: required string change_id,
  5: optional i32 part,
  6: optional i32 parts,
}

struct BucketDigest {
  1: required i16 bucket,
  2: required i64 digest,
}

struct DigestPull {
  1: required list<BucketDigest> buckets,
}

struct MembersPush {
  1: required list<Member> members,
  // Buckets whose members the sender requests.
  2: required list<i16> wanted,
}

struct Leaving {
  1: required string node_id,
}

union Frame {
  1: Hello hello,
  2: CallStart call,
  3: BodyChunk chunk,
  4: AnswerStart answer,
  5: Refused refused,
  6: Cancel cancel,
  7: Ping ping,
  8: Pong pong,
  9: TablesPull tables_pull,
  10: TablesPush tables_push,
  11: DigestPull digest_pull,
  12: MembersPush members_push,
  13: Leaving leaving,
  14: LoadPush load_push,
}

struct Probe {
  1: required i64 sequence,
}

struct ProbeAck {
  1: required i64 sequence,
}

struct ProbeRequest {
  1: required i64 sequence,
  2: required string node_id,
  3: required string host,
  4: required i32 port,
}

struct Gossip {
  1: required string sender,
  2: required i64 revision,
  3: optional Probe probe,
  4: optional ProbeAck ack,
  5: optional ProbeRequest request,
  6: required list<Member> updates,
  // Milliseconds since the store is known to have had no revision newer than
  // this one, and the generation of the store at that time; unset if unknown.
  7: optional i32 confirmed_age_ms,
  8: optional i64 store_generation,
}
