"""Ports for listeners of tests."""

from __future__ import annotations

import itertools
import os
import socket
from contextlib import ExitStack

# Below the range from which the system draws the ports of outgoing
# connections, so that none of these takes a port before its listener does.
_FIRST_PORT = 15000
_PORT_COUNT = 15000
_offsets = itertools.count(os.getpid() * 100)


def free_port() -> int:
    """Return a port that is free for TCP and UDP on the loopback address.

    Each is returned once in a process.
    """
    while True:
        port = _FIRST_PORT + next(_offsets) % _PORT_COUNT
        if _is_free(port):
            return port


def _is_free(port: int) -> bool:
    with ExitStack() as stack:
        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            sock = stack.enter_context(socket.socket(socket.AF_INET, kind))
            try:
                sock.bind(('127.0.0.1', port))
            except OSError:
                return False
    return True
