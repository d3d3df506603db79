"""Program of a sidecar: a node beside a worker of the users' platform."""

from __future__ import annotations

import gc
import os
import signal
import sys
from pathlib import Path
from typing import TYPE_CHECKING

import anyio

from savorystand.memory.allocator import tune_allocator
from savorystand.node.identity import new_node_id
from savorystand.node.sidecar import build_sidecar
from savorystand.platform.settings import PATH_VARIABLE
from savorystand.platform.settings import load_platform_settings
from savorystand.reporting.events import settings_reloaded
from savorystand.reporting.logs import Event
from savorystand.reporting.logs import EventLog
from savorystand.reporting.logs import EventName
from savorystand.reporting.logs import log_handler
from savorystand.settings.errors import SettingsError

if TYPE_CHECKING:
    from savorystand.kernel.kernel import Kernel
    from savorystand.platform.settings import PlatformSettings

_EXIT_SETTINGS = 2
# Net allocations of containers that start a collection; about 2 MB.
_GC_THRESHOLD = 20000
# Collections of a generation that start one of the next older generation.
_GC_GENERATION_THRESHOLD = 20
_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
_SIGNALS = (*_STOP_SIGNALS, signal.SIGHUP)


def main() -> None:
    """Run the node that the platform's settings file describes."""
    path = Path(os.environ.get(PATH_VARIABLE, ''))
    try:
        cfg = load_platform_settings(path)
    except SettingsError as exc:
        sys.stderr.write(f'error: {exc}\n')
        sys.exit(_EXIT_SETTINGS)
    _tune_garbage_collector()
    tune_allocator()
    log_handler(stream=sys.stdout).push_application()
    anyio.run(_run, cfg, path, backend_options={'use_uvloop': True})


def _tune_garbage_collector() -> None:
    # Objects created by imports live as long as the process. A call allocates
    # some hundred containers, hardly any of them in cycles; with the default
    # threshold every second call would start a collection.
    gc.freeze()
    gc.set_threshold(
        _GC_THRESHOLD, _GC_GENERATION_THRESHOLD, _GC_GENERATION_THRESHOLD
    )


async def _run(cfg: PlatformSettings, path: Path) -> None:
    stop = anyio.Event()
    with anyio.open_signal_receiver(*_SIGNALS) as signals:
        kernel = build_sidecar(cfg, node_id=new_node_id())
        log = kernel.find('log', EventLog)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_run_kernel, kernel, stop, tasks.cancel_scope)
            log.write(
                Event(
                    name=EventName.NODE_STARTED,
                    extra=(('service', cfg.service),),
                )
            )
            async for signum in signals:
                if signum in _STOP_SIGNALS:
                    stop.set()
                else:
                    log.write(settings_reloaded(_describe_reload(cfg, path)))


async def _run_kernel(
    kernel: Kernel, stop: anyio.Event, scope: anyio.CancelScope
) -> None:
    await kernel.run(stop)
    # Once their receiver is closed, the signals would end the process.
    signal.pthread_sigmask(signal.SIG_BLOCK, _SIGNALS)
    scope.cancel()


def _describe_reload(cfg: PlatformSettings, path: Path) -> str:
    # A process keeps the addresses and bounds with which it started. The log
    # line tells operators whether the next start would use others.
    try:
        reloaded = load_platform_settings(path)
    except SettingsError as exc:
        return f'invalid, current settings kept: {exc}'
    return (
        'unchanged'
        if reloaded == cfg
        else 'changed, takes effect at the next start'
    )
