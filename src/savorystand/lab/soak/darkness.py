"""An address that answers nothing, as that of a machine without power."""

from __future__ import annotations

import socket
from contextlib import ExitStack
from contextlib import contextmanager
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

# More than a queue of length 0 takes.
_FILLERS = 4


@contextmanager
def dark_address(host: str, port: int) -> Iterator[None]:
    """Let connections to an address hang, and datagrams to it vanish.

    The queue of new connections is full, so that the kernel drops the packets
    that open further ones.

    Raises:
        OSError: the address is in use.
    """
    with ExitStack() as stack:
        datagrams = stack.enter_context(
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        )
        datagrams.bind((host, port))
        listener = stack.enter_context(socket.socket())
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, port))
        listener.listen(0)
        for _ in range(_FILLERS):
            filler = stack.enter_context(socket.socket())
            filler.setblocking(False)
            filler.connect_ex((host, port))
        yield
