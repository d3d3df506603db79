"""Dispatches calls to peers or directly to the local target."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from savorystand.transport.inbound import InboundHandler
from savorystand.transport.peers import PeerTransport

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from savorystand.call import Call
    from savorystand.call import Outcome
    from savorystand.kernel.kernel import Kernel
    from savorystand.transport.address import PeerAddress


class PeerDispatcher:
    """Serves calls to this node in process and sends others to peers."""

    __slots__ = ('_kernel', '_node_id', '_transport')

    def __init__(self, *, kernel: Kernel, node_id: str) -> None:
        """Serve calls to ``node_id``, the id of this node, in process."""
        self._kernel = kernel
        self._transport = kernel.find('transport', PeerTransport)
        self._node_id = node_id

    def call(
        self, peer: PeerAddress, call: Call
    ) -> Coroutine[Any, Any, Outcome]:
        """Return the awaitable outcome of a call to ``peer``."""
        if peer.node_id == self._node_id:
            inbound = self._kernel.find('inbound', InboundHandler)
            return inbound.serve(call)
        return self._transport.call(peer, call)
