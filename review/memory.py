"""For scripts on memory: clients, the platform's limit and the rule."""

import asyncio
import signal

from lab import MEMORY_MB, Worker, now

LIMIT_S = 8
ORDER = b'o' * 400
# Clients of each of the two machines that send orders on kept connections.
ORDER_CLIENTS = 10
_POLL_S = 0.02
_DOWN_S = 0.5
# More than three requests break LOST.
_MAX_LOST = 3


async def start(lab):
    """Start two machines with clients and two with workers; return the first.

    Uploads and orders go to the same service.
    """
    fronts = [lab.add_machine('front', zone) for zone in 'ab']
    targets = [lab.add_machine('files', zone) for zone in 'ab']
    workers = [Worker(lab, machine, name=f'i-{machine.number}', capacity=50,
                      work_s=0.3) for machine in (*fronts, *targets)]
    lab.configure(['front', 'files'], [
        {'name': name, 'prefix': f'/{name}/', 'service': 'files',
         'routeKind': 'non_idempotent', 'timeoutMs': LIMIT_S * 1000,
         'targetLatencyMs': 5000, 'priority': 0, 'maxAttempts': 2}
        for name in ('upload', 'order')])
    for worker in workers:
        await worker.start()
    await lab.start()
    for machine in lab.machines:
        lab.spawn(_limit_memory(lab, machine))
    await asyncio.sleep(3)
    return fronts


def send_orders(lab, fronts, until):
    """Let clients send orders on kept connections until a time."""
    for machine in fronts:
        for _ in range(ORDER_CLIENTS):
            lab.spawn(lab.keep_sending(
                machine, '/order/1', deadline_s=LIMIT_S, body=ORDER,
                until=until))


async def _limit_memory(lab, machine):
    """Kill the process above ``memoryMb`` and start it again, as DEPLOY.md says.

    Only resident memory counts here; bytes in socket buffers are left out.
    """
    while True:
        used = machine.memory_mb()
        machine.peak_mb = max(machine.peak_mb, used)
        if used > MEMORY_MB:
            lab.record.add(f'node {machine.number} uses {used:.0f} MB, more '
                           f'than memoryMb')
            machine.own_ends.append(now())
            machine.signal(signal.SIGKILL)
            machine.process.wait()
            await asyncio.sleep(_DOWN_S)
            machine.start()
        await asyncio.sleep(_POLL_S)


def judge(lab):
    """Return True if LOST is broken.

    Counted are requests from kept connections that reached a worker and whose
    connection ended without an answer. A process that ends by itself counts as
    running all the while, and its machine as in touch.
    """
    passed_on = {request_id for _, request_id, _ in lab.arrivals}
    lost = [sent for sent in lab.sent
            if sent.kept and sent.how == 'closed without a whole answer'
            and sent.request_id in passed_on]
    for machine in lab.machines:
        _tell(lab, f'node {machine.number}: {len(machine.own_ends)} ends by '
                   f'itself, peak {machine.peak_mb:.0f} MB')
    outcomes = {}
    for sent in lab.sent:
        outcomes[sent.how] = outcomes.get(sent.how, 0) + 1
    for how, count in sorted(outcomes.items()):
        _tell(lab, f'{count} requests: {how}')
    ended = sum(len(machine.own_ends) >= 3 for machine in lab.machines)
    _tell(lab, f'machines whose processes ended three times: {ended}')
    _tell(lab, f'requests from kept connections that were passed on and cut '
               f'without an answer: {len(lost)}')
    return len(lost) > _MAX_LOST


def _tell(lab, line):
    lab.record.add(line)
    print(line)
