"""Guards against calls to slow, lost or needlessly distant targets.

A call goes to such a target if the router ignores latencies, failures, load
reports or regions, and a target is never used again if it does not forget them.
"""

from __future__ import annotations

import heapq
import random
from typing import TYPE_CHECKING

from expression import Error
from expression import Ok

from savorystand.call import Importance
from savorystand.call import Response
from savorystand.call import TargetLoad
from savorystand.clock import ManualClock
from savorystand.kernel.kernel import Kernel
from savorystand.routing.choice import Choice
from savorystand.routing.router import Router
from savorystand.target_notice import Incarnation
from savorystand.verdict import NotRun
from savorystand.verdict import Reason
from tests.policy_doubles import FakeDirectory
from tests.policy_doubles import make_call
from tests.policy_doubles import make_member

if TYPE_CHECKING:
    from savorystand.membership.member import Member

_RESPONSE = Ok(Response(status=200, headers=(), body=b'12345'))
_NONE_TRIED = frozenset[str]()


class _CallingNode:
    """A router with its clock and directory, and simulated targets."""

    def __init__(self, members: list[Member], *, domain: str = 'own') -> None:
        self.clock = ManualClock()
        self.directory = FakeDirectory(members, domain=domain)
        self.lost: list[str] = []
        kernel = Kernel()
        kernel.register('clock', self.clock)
        kernel.register('membership', self.directory)
        self.router = Router(
            kernel=kernel,
            rng=random.Random(7),
            on_failure=lambda peer: self.lost.append(peer.node_id),
        )
        self._pending: list[tuple[float, int, Choice]] = []

    def pick(self, **fields: object) -> Choice | None:
        fields.setdefault('deadline_ms', self.clock.now() + 10000)
        return self.router.pick(make_call(**fields), _NONE_TRIED)

    def run(self, ms: int, service_ms: dict[str, float]) -> dict[str, int]:
        """Call once a millisecond; return each target's calls in permille."""
        calls = dict.fromkeys(service_ms, 0)
        for turn in range(ms):
            self.clock.advance(1)
            now = self.clock.now()
            while self._pending and self._pending[0][0] <= now:
                choice = heapq.heappop(self._pending)[2]
                took_ms = service_ms[choice.peer.node_id]
                self.router.finish(
                    choice, make_call(), outcome=_RESPONSE, elapsed_ms=took_ms
                )
            choice = self.pick()
            assert choice is not None
            self.router.begin(choice, make_call())
            calls[choice.peer.node_id] += 1
            took_ms = service_ms[choice.peer.node_id]
            heapq.heappush(self._pending, (now + took_ms, turn, choice))
        return {name: 1000 * count // ms for name, count in calls.items()}

    def report(self, *node_ids: str, load: TargetLoad) -> None:
        for node_id in node_ids:
            member = self.directory.lookup(node_id)
            assert member is not None
            self.router.observe_load(member.peer, load)


def test_slow_target_loses_share_and_regains_it() -> None:
    """A slowed target must lose its share, and regain it on recovery."""
    names = [f't{number}' for number in range(6)]
    caller = _CallingNode([make_member(name) for name in names])
    normal_ms = dict.fromkeys(names, 10.0)
    assert min(caller.run(2000, normal_ms).values()) > 120
    slowed_ms = {**normal_ms, 't0': 100.0}
    caller.run(500, slowed_ms)
    assert caller.run(2000, slowed_ms)['t0'] < 20
    caller.run(5000, normal_ms)
    assert caller.run(2000, normal_ms)['t0'] > 120


def test_new_target_gets_its_share_in_steps() -> None:
    """A target that just started must not get a full share at once."""
    names = [f't{number}' for number in range(6)]
    normal_ms = dict.fromkeys(names, 10.0)
    caller = _CallingNode([make_member(name) for name in names[:5]])
    caller.run(5000, normal_ms)
    caller.directory.listed.append(make_member('t5'))
    shares = [caller.run(1000, normal_ms)['t5'] for _ in range(6)]
    assert shares[0] < 50
    assert shares[0] < shares[2] < shares[5]
    assert shares[5] > 120


# Guards against a few targets that get nearly all calls after a restart of
# everything, only because this node has learned of them first.
def test_targets_learned_one_by_one_after_a_start_share_equally() -> None:
    """All of them are new, and none can take the calls of the others."""
    names = [f't{number}' for number in range(6)]
    normal_ms = dict.fromkeys(names, 10.0)
    caller = _CallingNode([make_member('t0'), make_member('t1')])
    caller.run(100, normal_ms)
    for name in names[2:]:
        caller.directory.listed.append(make_member(name))
        caller.run(50, normal_ms)
    assert min(caller.run(1000, normal_ms).values()) > 120


# Guards against a minority of old targets that is overloaded while the others
# return from a loss of half of the machines.
def test_majority_of_new_targets_gets_full_shares() -> None:
    """The established ones cannot take the calls of so many."""
    names = [f't{number}' for number in range(6)]
    normal_ms = dict.fromkeys(names, 10.0)
    caller = _CallingNode([make_member(name) for name in names[:2]])
    caller.run(5000, normal_ms)
    for name in names[2:]:
        caller.directory.listed.append(make_member(name))
        caller.run(10, normal_ms)
    assert min(caller.run(1000, normal_ms).values()) > 120


def test_nearer_targets_come_first_while_they_have_room() -> None:
    """Calls to other regions cost 40 ms and money and must be a last resort."""
    caller = _CallingNode(
        [
            make_member('own', domain='a'),
            make_member('near', domain='b'),
            make_member('far', domain='c', region='other'),
        ],
        domain='a',
    )
    busy = TargetLoad(in_flight=9, limit=9)

    def picked(remaining_ms: float = 10000) -> str | None:
        choice = caller.pick(deadline_ms=caller.clock.now() + remaining_ms)
        return choice and choice.peer.node_id

    assert {picked() for _ in range(50)} == {'own'}
    caller.report('own', load=busy)
    assert {picked() for _ in range(50)} == {'near'}
    caller.report('near', load=busy)
    assert {picked() for _ in range(50)} == {'far'}
    assert 'far' not in {picked(39) for _ in range(50)}
    caller.clock.advance(500)
    caller.report('own', 'near', load=TargetLoad(in_flight=1, limit=9))
    assert {picked() for _ in range(50)} == {'own'}
    far = caller.directory.lookup('far')
    assert far is not None
    choice = Choice(peer=far.peer, reason='test')
    caller.router.begin(choice, make_call(body=b'123'))
    caller.router.finish(choice, make_call(), outcome=_RESPONSE, elapsed_ms=50)
    assert caller.router.cross_region_bytes() == 8


def test_lost_peer_is_avoided_while_another_is_left() -> None:
    """An unreachable peer must not delay further calls by a connect."""
    caller = _CallingNode([make_member('a'), make_member('b')])
    choice = caller.pick()
    assert choice is not None
    lost = Error(NotRun(reason=Reason.CONNECTION_LOST))
    caller.router.begin(choice, make_call())
    caller.router.finish(choice, make_call(), outcome=lost, elapsed_ms=1)
    assert caller.lost == [choice.peer.node_id]
    others = {caller.pick().peer.node_id for _ in range(300)}
    assert others == {'a', 'b'} - {choice.peer.node_id}
    caller.directory.listed = [caller.directory.lookup(choice.peer.node_id)]
    assert caller.pick() is not None


def test_sheds_only_while_all_targets_report_shedding() -> None:
    """Calls that would be shed must not be sent.

    Old reports must not block the pool.
    """
    caller = _CallingNode([make_member('a'), make_member('b')])
    caller.pick()
    high = TargetLoad(admitted_rank=Importance.HIGH)

    def refused(importance: Importance = Importance.NORMAL) -> int:
        call = make_call(importance=importance)
        return sum(caller.router.shed(call) is not None for _ in range(1000))

    caller.report('a', load=high)
    assert refused() == 0
    caller.report('b', load=high)
    assert 950 < refused() < 1000
    assert refused(Importance.HIGH) == 0
    caller.clock.advance(500)
    assert refused() == 0


def test_new_distant_targets_are_used_if_no_others_exist() -> None:
    """Targets in another region that all start at once must get the calls."""
    caller = _CallingNode([make_member('gone')])
    caller.pick()
    names = ('far1', 'far2')
    caller.directory.listed = [
        make_member(name, domain='c', region='other') for name in names
    ]
    assert all(caller.pick() is not None for _ in range(50))


def test_work_beyond_a_rate_limit_goes_to_any_other_target() -> None:
    """A slow distant target with room must serve what near ones refuse."""
    caller = _CallingNode(
        [
            make_member('near', domain='b'),
            make_member('far', domain='c', region='other'),
        ],
        domain='a',
    )
    caller.run(100, {'near': 10, 'far': 10})
    near = caller.directory.lookup('near')
    assert near is not None
    limited = Error(NotRun(reason=Reason.RATE_LIMITED))
    for _ in range(4):
        choice = Choice(peer=near.peer, reason='test')
        caller.router.begin(choice, make_call())
        caller.router.finish(choice, make_call(), outcome=limited, elapsed_ms=1)
    caller.report('near', load=TargetLoad(limit=9, rate_limit=5))
    caller.report('far', load=TargetLoad(limit=9, slow=True))
    picked = {caller.pick().peer.node_id for _ in range(50)}
    assert picked == {'far'}
    caller.report('near', load=TargetLoad(limit=9))
    picked = {caller.pick().peer.node_id for _ in range(50)}
    assert picked == {'near'}


def test_leaving_target_gets_no_work_while_another_is_left() -> None:
    """A target that has told this node that it leaves must be left alone.

    The directory may list it for some time.
    """
    caller = _CallingNode([make_member('a'), make_member('b')])
    caller.pick()
    leaving = Incarnation(instance='i-1', started_ms=7)
    caller.report('a', load=TargetLoad(limit=9, leaving=leaving))
    caller.clock.advance(5000)
    assert {caller.pick().peer.node_id for _ in range(50)} == {'b'}
    caller.report('a', load=TargetLoad(limit=9))
    assert {caller.pick().peer.node_id for _ in range(50)} == {'a', 'b'}
