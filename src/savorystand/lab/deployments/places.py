"""Loopback addresses of nodes, which encode failure domain and region."""

from __future__ import annotations

import random
import socket
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import final

from savorystand.lab.deployments.deployment import DOMAINS_PER_REGION
from savorystand.lab.deployments.deployment import WORKERS
from savorystand.settings.node import Address

if TYPE_CHECKING:
    from savorystand.lab.deployments.deployment import Deployment

_DOMAIN_DELAY_MS = 0.5
_REGION_DELAY_MS = 20
_ADDRESSES_PER_NODE = 5
# Below the ephemeral port range: an outgoing connection could otherwise take
# a port after it was chosen here and before a node binds it.
_FIRST_PORT = 20000
_LAST_PORT = 32000
_MAX_PORT_ATTEMPTS = 100
_RNG = random.SystemRandom()


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class NodePlacement:
    """Name, failure domain, region and addresses of a node and its target."""

    name: str
    pool: str
    worker: int
    domain: int
    region: int
    callers: Address
    local: Address
    peers: Address
    target: Address
    control: Address

    @property
    def host(self) -> str:
        """Return the IP address of the node."""
        return self.peers.host


def domain_prefix(domain: int) -> str:
    """Return the prefix of the IP addresses of a failure domain."""
    number = domain + 1
    return f'127.0.{number}.'


def region_prefixes(region: int) -> list[str]:
    """Return the address prefixes of the failure domains of a region."""
    first = region * DOMAINS_PER_REGION
    return [
        domain_prefix(domain)
        for domain in range(first, first + DOMAINS_PER_REGION)
    ]


def delays_by_prefix(domain: int) -> dict[str, float]:
    """Return the one-way delay in ms from a domain to each address prefix."""
    delays: dict[str, float] = {}
    for other in range(WORKERS):
        same_region = (
            other // DOMAINS_PER_REGION == domain // DOMAINS_PER_REGION
        )
        delay_ms = _DOMAIN_DELAY_MS if same_region else _REGION_DELAY_MS
        delays[domain_prefix(other)] = 0 if other == domain else delay_ms
    return delays


def place_nodes(deployment: Deployment) -> list[NodePlacement]:
    """Place one node of each pool in each failure domain.

    Raises:
        OSError: no port is free.
    """
    return [
        _place(pool.name, worker, f'{domain_prefix(worker)}{pool_number}')
        for pool_number, pool in enumerate(deployment.pools, start=1)
        for worker in range(WORKERS)
    ]


def free_address(host: str) -> Address:
    """Return an address whose port is currently free for TCP and UDP.

    Raises:
        OSError: no free port was found.
    """
    return free_addresses(host, 1)[0]


def free_addresses(host: str, number: int) -> list[Address]:
    """Return ``number`` addresses with different free ports.

    Raises:
        OSError: too few free ports were found.
    """
    ports = range(_FIRST_PORT, _LAST_PORT)
    found: list[Address] = []
    for port in _RNG.sample(ports, _MAX_PORT_ATTEMPTS):
        if _is_free(host, port):
            found.append(Address(host=host, port=port))
        if len(found) == number:
            return found
    raise OSError(f'too few free ports on {host}')


def _is_free(host: str, port: int) -> bool:
    kinds = (socket.SOCK_STREAM, socket.SOCK_DGRAM)
    try:
        for kind in kinds:
            with socket.socket(socket.AF_INET, kind) as sock:
                sock.bind((host, port))
    except OSError:
        return False
    return True


def _place(pool: str, worker: int, host: str) -> NodePlacement:
    addresses = free_addresses(host, _ADDRESSES_PER_NODE)
    return NodePlacement(
        name=f'{pool}-{worker}',
        pool=pool,
        worker=worker,
        domain=worker,
        region=worker // DOMAINS_PER_REGION,
        callers=addresses[0],
        local=addresses[1],
        peers=addresses[2],
        target=addresses[3],
        control=addresses[4],
    )
