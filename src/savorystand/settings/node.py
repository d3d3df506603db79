"""The settings of one node."""

from __future__ import annotations

from dataclasses import dataclass
from typing import final


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class Address:
    """An IP number and a port."""

    host: str
    port: int

    def text(self) -> str:
        """Return ``host:port``."""
        return f'{self.host}:{self.port}'


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class TlsSettings:
    """PEM files for the connections between nodes and of operators."""

    certificate: str
    key: str
    authority: str


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class NodeSettings:
    """Addresses, place and keys of a node; it has no other settings.

    ``peers`` is used for TCP and UDP. ``seeds`` are peer addresses that the
    node contacts first; any that is alive will do.
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
