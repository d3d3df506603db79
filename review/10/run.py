"""A ping that arrives after its worker has deregistered; see claim.txt."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import stage as stand

CLIENTS = 8
# How late the pings of the restarted worker are.
LATE_S = 3.0
# The worker runs on for this long after its departure is acknowledged.
SERVES_S = 5.0


async def client(entry, record):
    while True:
        number = stand.new_id()
        record.write(f'{number} sent')
        answer = await stand.request(
            entry.outbound, 'POST', '/confirm/a',
            headers=[('Request-Id', number), ('Deadline-Ms', '5000')],
            body=bytes(300))
        record.write(f'{number} answered {answer.status} {answer.error}')
        await asyncio.sleep(0.05)


async def run(stage, record, trouble):
    entry, machine, other = stage.machines
    stage.configure(
        7,
        [stand.route('r-confirm', '/confirm/', 'refill', 'non_idempotent',
                     timeout_ms=5000, priority=0)],
        ['binwatch', 'refill'])
    await stage.open()
    for each in stage.machines:
        await stage.worker(each).start()
    worker = stage.workers[1]
    await stage.wait_ready()
    await asyncio.sleep(3)
    for _ in range(CLIENTS):
        stage.keep(client(entry, record))
    await asyncio.sleep(2)
    # The worker crashes and starts again under the id that it had.
    instance = worker.instance
    await worker.crash()
    await asyncio.sleep(1)
    worker.late_s = LATE_S if trouble else 0.0
    await worker.start(instance)
    born = worker.born
    # It is taken away: it deregisters, serves on and exits.
    await asyncio.sleep(1)
    worker.pinging = False
    status = await worker.deregister()
    acknowledged = time.monotonic()
    await asyncio.sleep(SERVES_S)
    await worker.crash()
    await asyncio.sleep(1)
    after_s = [ran - acknowledged for ran, _, ran_born, _ in worker.runs
               if ran_born == born and ran > acknowledged]
    late = [after for after in after_s if after > stand.DRAIN_S]
    for line in (
        f'deregistration acknowledged with {status}',
        f'requests run after it: {len(after_s)}, last after'
        f' {max(after_s, default=0):.1f} s',
        f'DRAIN: {len(late)} requests run later than drainMs after it',
    ):
        record.write(line)
        print(line)
    if status != 200:
        raise stand.CannotRun('the departure was not acknowledged')
    return bool(late)


if __name__ == '__main__':
    stand.main(run, FOLDER, ['binwatch', 'refill', 'refill'])
