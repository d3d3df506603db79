"""The address of a worker goes to another service; see claim.txt."""

import asyncio
import random
import sys
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import stage as stand

# At each of the two machines of `billing`.
CONFIRMS_PER_S = 40.0
# reuseAfterS of the settings, and the start of the next worker.
REUSE_S = 2.2


class Day:
    """The clients of two machines, and what they have seen."""

    def __init__(self, stage, record):
        self.stage = stage
        self.record = record
        self.counts = Counter()
        self.statuses = {}

    async def arrivals(self, machine):
        while True:
            await asyncio.sleep(random.expovariate(CONFIRMS_PER_S))
            self.stage.keep(self.confirm(machine))

    async def confirm(self, machine):
        number = stand.new_id()
        self.record.write(f'{number} refill-confirm sent')
        answer = await stand.request(
            machine.outbound, 'POST', '/confirm/a',
            headers=[('Request-Id', number), ('Deadline-Ms', '5000')],
            body=bytes(300))
        self.counts[answer.status] += 1
        self.statuses[number] = answer.status
        self.record.write(f'{number} answered {answer.status} {answer.error}')


async def run(stage, record, trouble):
    first, machine, *_, last = stage.machines
    stage.configure(
        7,
        [stand.route('r-confirm', '/confirm/', 'refill', 'non_idempotent',
                     timeout_ms=5000, priority=0),
         stand.route('r-level', '/level/', 'binwatch', 'safe',
                     timeout_ms=5000)],
        ['billing', 'binwatch', 'refill'])
    await stage.open()
    for each in stage.machines:
        await stage.worker(each).start()
    old = stage.workers[1]
    await stage.wait_ready()
    await asyncio.sleep(3)
    day = Day(stage, record)
    stage.keep(day.arrivals(first))
    stage.keep(day.arrivals(last))
    await asyncio.sleep(3)
    new = stand.Worker(stage=stage, record=record, machine=machine,
                       service='binwatch')
    if trouble:
        await old.fall_silent()
        await asyncio.sleep(REUSE_S)
        await old.vanish()
        machine.service = new.service
        machine.write_settings()
        stage.workers.append(new)
        await new.start()
    await asyncio.sleep(8)
    # No request for binwatch is sent, so that all runs there are wrong.
    wrong = [number for _, _, _, number in new.runs]
    answers = Counter(day.statuses.get(number, 0) for number in wrong)
    for line in (
        f'answers to clients {dict(day.counts)}',
        f'ROUTE: {len(wrong)} requests for refill run by binwatch,'
        f' answers to them {dict(answers)}',
    ):
        record.write(line)
        print(line)
    return bool(wrong)


if __name__ == '__main__':
    stand.main(run, FOLDER, ['billing', 'refill', 'refill', 'refill', 'billing'])
