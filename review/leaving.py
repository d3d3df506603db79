"""What the scripts on DRAIN share: one worker leaves while clients send on."""

import asyncio
import random

from lab import BOUNDS, CannotRun, Worker, now

LIMIT_S = 5
# Pause between the requests of a client.
PAUSE_S = 0.2
CLIENTS = 10


class Scene:
    """Two workers of a service beside their nodes; the first one will leave."""

    def __init__(self, lab):
        self.lab = lab
        self.front = lab.add_machine('front', 'a')
        self.machine = lab.add_machine('orders', 'a')
        other = lab.add_machine('orders', 'b')
        self.worker = Worker(lab, self.machine, name='i-leaving', capacity=20,
                             work_s=0.4)
        self.workers = [
            Worker(lab, self.front, name='i-front', capacity=8, work_s=0.1),
            self.worker,
            Worker(lab, other, name='i-other', capacity=20, work_s=0.4)]
        self.stopped = asyncio.Event()
        self.clients = []

    async def start(self):
        self.lab.configure(['front', 'orders'], [
            {'name': 'order', 'prefix': '/order/', 'service': 'orders',
             'routeKind': 'non_idempotent', 'timeoutMs': LIMIT_S * 1000,
             'targetLatencyMs': 1500, 'priority': 0, 'maxAttempts': 2}])
        for worker in self.workers:
            await worker.start()
        await self.lab.start()
        self.clients = [self.lab.spawn(self._client()) for _ in range(CLIENTS)]
        await asyncio.sleep(8)
        if not any(name == 'i-leaving' for _, _, name in self.lab.arrivals):
            raise CannotRun('the worker got no requests before it left')

    async def _client(self):
        await asyncio.sleep(random.random() * PAUSE_S)
        while not self.stopped.is_set():
            await self.lab.request(self.front, '/order/1', body=b'o' * 400,
                                   deadline_s=LIMIT_S)
            await asyncio.sleep(PAUSE_S)

    async def goodbye(self):
        """Deregister until acknowledged, as a worker does; return the time."""
        for _ in range(100):
            status = await self.worker.deregister()
            if 200 <= status < 300:
                self.lab.record.add('Deregister of i-leaving acknowledged')
                return now()
            await asyncio.sleep(0.05)
        raise CannotRun('no acknowledgement')

    async def late_beat(self, document, arrives_at):
        """Let a heartbeat that was sent before arrive late."""
        await asyncio.sleep(max(0, arrives_at - now()))
        status = await self.worker.send_beat(document)
        self.lab.record.add(f'the late heartbeat arrives, status {status}')

    async def exit_at(self, exits_at):
        """End the worker, and a moment later the clients."""
        await asyncio.sleep(max(0, exits_at - now()))
        self.worker.exit()
        self.lab.record.add('worker i-leaving exits')
        await asyncio.sleep(0.5)
        self.stopped.set()
        await asyncio.wait(self.clients, timeout=LIMIT_S)

    def judge(self, acked_at):
        """Return True if DRAIN is broken after the acknowledgement.

        Counted are requests that a client sent once the node beside the
        worker was in touch again, and that reached the worker later than
        ``drainMs`` after the acknowledgement.
        """
        from_s = max(acked_at + BOUNDS['drainMs'] / 1000,
                     self.machine.started_at + BOUNDS['contactMs'] / 1000)
        begins = {sent.request_id: sent.begin for sent in self.lab.sent}
        late = [name for at, name, worker in self.lab.arrivals
                if worker == 'i-leaving' and at > from_s
                and begins[name] > from_s]
        failed = [sent for sent in self.lab.sent
                  if sent.begin > from_s and sent.status in (None, 502, 504)]
        verdict = (
            f'{len(late)} requests reached the worker that had left, later than '
            f'{from_s - acked_at:.2f} s after the acknowledgement; '
            f'{len(failed)} of the clients\' requests failed with 502, 504 or '
            'no answer')
        self.lab.record.add(verdict)
        print(verdict)
        return bool(late)
