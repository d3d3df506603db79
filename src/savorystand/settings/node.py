"""Settings of a node as loaded from its file."""

from __future__ import annotations

from dataclasses import dataclass
from typing import final

# Memory of a process whose settings name none.
DEFAULT_MEMORY_MB = 300


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class Address:
    """An IPv4 address and a port."""

    host: str
    port: int

    def text(self) -> str:
        """Return ``host:port``."""
        return f'{self.host}:{self.port}'


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class TlsSettings:
    """Paths of the PEM files for connections of peers and operators."""

    certificate: str
    key: str
    authority: str


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class NodeSettings:
    """Addresses, failure domain, region and keys of a node.

    A node has no other settings. ``peers`` is used for TCP and UDP. ``seeds``
    are peer addresses that the node contacts first; one that responds is
    enough. ``memory_mb`` is the memory in megabytes that its process may use.
    """

    failure_domain: str
    region: str
    callers: Address
    local: Address
    peers: Address
    target: Address
    seeds: tuple[Address, ...]
    table_service: str
    object_store: str
    platform_key: str
    admin_key: str
    statsd: Address | None = None
    tls: TlsSettings | None = None
    memory_mb: int = DEFAULT_MEMORY_MB
