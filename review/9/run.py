"""Machines of a service lose power; see claim.txt."""

import asyncio
import random
import socket
import sys
import time
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import stage as stand

LOOKUPS_PER_S = 100.0
# The client's time limit and the route's timeoutMs, as those of `bin-level`.
LIMIT_S = 5.0
TIMEOUT_S = 0.8
# The answer may come this long after the timeout.
SLACK_S = 0.5
# The rule's bounds: this many, and more than half of those that are unanswered.
MIN_BROKEN = 8
DARK = 4
DARK_S = 2.0


class Darkness:
    """Takes the place of a machine without power: it answers nothing.

    Opening packets are dropped, since the queue of new connections is full, and
    datagrams are not read.
    """

    def __init__(self, machine):
        machine.process.kill()
        machine.process.wait()
        address = (machine.host, machine.peer_port)
        self._sockets = [socket.socket(type=socket.SOCK_DGRAM)]
        self._sockets[0].bind(address)
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(address)
        listener.listen(0)
        self._sockets.append(listener)
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(address)
            self._sockets.append(filler)

    def end(self):
        for each in self._sockets:
            each.close()


class Day:
    """The clients of one machine, and what they have seen."""

    def __init__(self, stage, record):
        self.stage = stage
        self.record = record
        self.entry = stage.machines[0]
        self.counts = Counter()

    async def arrivals(self):
        while True:
            await asyncio.sleep(random.expovariate(LOOKUPS_PER_S))
            self.stage.keep(self.lookup())

    async def lookup(self):
        number = stand.new_id()
        self.record.write(f'{number} lookup sent')
        start = time.monotonic()
        answer = await stand.request(
            self.entry.outbound, 'GET', '/level/a',
            headers=[('Request-Id', number), ('Deadline-Ms', '5000')],
            limit_s=LIMIT_S)
        waited_s = time.monotonic() - start
        if waited_s <= TIMEOUT_S:
            kind = 'in time'
        elif waited_s <= TIMEOUT_S + SLACK_S and answer.status:
            kind = 'within the slack'
        else:
            kind = 'late' if answer.status else 'never'
        self.counts[kind] += 1
        self.record.write(f'{number} answered {answer.status} {answer.error}'
                          f' after {waited_s:.2f} s: {kind}')


async def run(stage, record, trouble):
    entry, *others = stage.machines
    stage.configure(
        7,
        [stand.route('r-level', '/level/', 'refill', 'safe', timeout_ms=800,
                     target_ms=1200)],
        ['binwatch', 'refill'])
    await stage.open()
    for each in stage.machines:
        await stage.worker(each).start()
    await stage.wait_ready()
    await asyncio.sleep(3)
    day = Day(stage, record)
    stage.keep(day.arrivals())
    await asyncio.sleep(4)
    dark = []
    if trouble:
        for worker in stage.workers[1:1 + DARK]:
            await worker.crash()
        dark = [Darkness(machine) for machine in others[:DARK]]
        record.write(f'{DARK} machines lose power')
    await asyncio.sleep(DARK_S)
    for machine, darkness in zip(others, dark, strict=False):
        darkness.end()
        machine.start()
    await asyncio.sleep(LIMIT_S + 1)
    unanswered = sum(day.counts[kind] for kind in
                     ('within the slack', 'late', 'never'))
    broken = day.counts['late'] + day.counts['never']
    for line in (
        f'answers to clients {dict(day.counts)}',
        f'CONFIG: {unanswered} requests without an answer at timeoutMs,'
        f' {broken} of them without one half a second later',
    ):
        record.write(line)
        print(line)
    return broken >= MIN_BROKEN and broken * 2 > unanswered


if __name__ == '__main__':
    stand.main(run, FOLDER, ['binwatch'] + ['refill'] * 7)
