"""DRAIN: a worker says goodbye to a node that has just been restarted."""

import asyncio
import os
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
# TROUBLE=0 leaves the disruption out.
TROUBLE = os.environ.get('TROUBLE') != '0'
sys.path.insert(0, str(FOLDER.parent))

from lab import main, now  # noqa: E402
from leaving import Scene  # noqa: E402

DOWN_S = 0.5
# How late the worker's last heartbeat arrives after it was sent.
LATE_S = 2.5
# How long the worker serves after its goodbye, in seconds.
STAYS_S = 9.0


async def case(lab, trouble):
    scene = Scene(lab)
    await scene.start()
    scene.worker.beating = False
    beat = scene.worker.beat_document()
    beat_sent_at = now()
    if trouble:
        scene.machine.kill()
        await asyncio.sleep(DOWN_S)
        scene.machine.start()
    acked_at = await scene.goodbye()
    await scene.late_beat(beat, beat_sent_at + LATE_S)
    await scene.exit_at(acked_at + STAYS_S)
    return scene.judge(acked_at)


main(case, FOLDER, trouble=TROUBLE)
