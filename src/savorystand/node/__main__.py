"""The program of a node beside a worker of the users' platform."""

from __future__ import annotations

import gc
import os
import signal
import sys
from pathlib import Path
from typing import TYPE_CHECKING

import anyio

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
# New containers after which the collector runs; about two megabytes.
_COLLECT_AFTER = 20000
# Collections of one generation after which the next older one is collected.
_GENERATION = 20
_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def main() -> None:
    """Run the node that the platform's settings file describes."""
    path = Path(os.environ.get(PATH_VARIABLE, ''))
    try:
        cfg = load_platform_settings(path)
    except SettingsError as exc:
        sys.stderr.write(f'error: {exc}\n')
        sys.exit(_EXIT_SETTINGS)
    _relax_collector()
    log_handler(stream=sys.stdout).push_application()
    anyio.run(_run, cfg, path, backend_options={'use_uvloop': True})


def _relax_collector() -> None:
    # What the imports have made lives as long as the process. A call makes
    # some hundred containers, of which hardly any are in cycles: with the
    # usual threshold every second call would start a collection.
    gc.freeze()
    gc.set_threshold(_COLLECT_AFTER, _GENERATION, _GENERATION)


async def _run(cfg: PlatformSettings, path: Path) -> None:
    stop = anyio.Event()
    with anyio.open_signal_receiver(*_STOP_SIGNALS, signal.SIGHUP) as received:
        kernel = build_sidecar(cfg, node_id=new_node_id())
        log = kernel.find('log', EventLog)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_serve, kernel, stop, tasks.cancel_scope)
            log.write(
                Event(
                    name=EventName.NODE_STARTED,
                    extra=(('service', cfg.service),),
                )
            )
            async for number in received:
                if number in _STOP_SIGNALS:
                    stop.set()
                else:
                    log.write(settings_reloaded(_difference(cfg, path)))


async def _serve(
    kernel: Kernel, stop: anyio.Event, scope: anyio.CancelScope
) -> None:
    await kernel.run(stop)
    scope.cancel()


def _difference(cfg: PlatformSettings, path: Path) -> str:
    # Addresses and bounds hold for the life of a process. Operators see
    # whether the next start would use others.
    try:
        now = load_platform_settings(path)
    except SettingsError as exc:
        return f'kept: {exc}'
    return 'unchanged' if now == cfg else 'changed, in force at the next start'


if __name__ == '__main__':
    main()
