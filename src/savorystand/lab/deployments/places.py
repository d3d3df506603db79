"""Where the processes of a cluster run: loopback addresses as places."""

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

_DOMAIN_MS = 0.5
_REGION_MS = 20
_ADDRESSES = 5
# Below the ports that the system gives to outgoing connections, which could
# take a port between its choice here and its use by a node.
_FIRST_PORT = 20000
_LAST_PORT = 32000
_PORT_TRIALS = 100
_RANDOM = random.SystemRandom()


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class NodePlace:
    """Name, place and addresses of one node and its target."""

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
        """Return the node's IP number."""
        return self.peers.host


def domain_prefix(domain: int) -> str:
    """Return the prefix of the IP numbers of a failure domain."""
    number = domain + 1
    return f'127.0.{number}.'


def region_prefixes(region: int) -> list[str]:
    """Return the prefixes of the failure domains of a region."""
    first = region * DOMAINS_PER_REGION
    return [
        domain_prefix(domain)
        for domain in range(first, first + DOMAINS_PER_REGION)
    ]


def delays_from(domain: int) -> dict[str, float]:
    """Return the one-way delay to each prefix from a failure domain."""
    delays: dict[str, float] = {}
    for other in range(WORKERS):
        near = other // DOMAINS_PER_REGION == domain // DOMAINS_PER_REGION
        delay_ms = _DOMAIN_MS if near else _REGION_MS
        delays[domain_prefix(other)] = 0 if other == domain else delay_ms
    return delays


def places(deployment: Deployment) -> list[NodePlace]:
    """Place one worker of each pool in each failure domain.

    Raises:
        OSError: no port is free.
    """
    return [
        _place(pool.name, worker, f'{domain_prefix(worker)}{row}')
        for row, pool in enumerate(deployment.pools, start=1)
        for worker in range(WORKERS)
    ]


def free_address(host: str) -> Address:
    """Return an address whose TCP and UDP ports were free just now.

    Raises:
        OSError: no port was found.
    """
    return free_addresses(host, 1)[0]


def free_addresses(host: str, number: int) -> list[Address]:
    """Return addresses with different free ports.

    Raises:
        OSError: too few ports were found.
    """
    ports = range(_FIRST_PORT, _LAST_PORT)
    found: list[Address] = []
    for port in _RANDOM.sample(ports, _PORT_TRIALS):
        if _is_free(host, port):
            found.append(Address(host=host, port=port))
        if len(found) == number:
            return found
    raise OSError(f'no free port on {host}')


def _is_free(host: str, port: int) -> bool:
    kinds = (socket.SOCK_STREAM, socket.SOCK_DGRAM)
    try:
        for kind in kinds:
            with socket.socket(socket.AF_INET, kind) as sock:
                sock.bind((host, port))
    except OSError:
        return False
    return True


def _place(pool: str, worker: int, host: str) -> NodePlace:
    addresses = free_addresses(host, _ADDRESSES)
    return NodePlace(
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
