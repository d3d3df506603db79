"""Factories of a node's network, with TLS if the settings enable it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorystand.clock import Clock
from savorystand.transport.network import Network
from savorystand.trust.certificates import Certificates
from savorystand.trust.network import TlsNetwork

if TYPE_CHECKING:
    import ssl
    from collections.abc import Mapping

    from savorystand.kernel.kernel import Factory
    from savorystand.kernel.kernel import Kernel
    from savorystand.settings.node import NodeSettings
    from savorystand.settings.node import TlsSettings

NETWORK = 'network'


def network_factories(
    cfg: NodeSettings,
    replace: Mapping[str, Factory],
) -> dict[str, Factory]:
    """Return the factories of the network and of its certificates.

    With TLS, a network in ``replace`` carries the encrypted traffic, so that
    faults are injected below TLS.
    """
    plain = replace.get(NETWORK, lambda kernel: Network())
    if cfg.tls is None:
        return {NETWORK: plain}
    return {
        'certificates': _certificates_factory(cfg.tls),
        'plain network': plain,
        NETWORK: lambda kernel: TlsNetwork(
            inner=kernel.find('plain network', Network),
            certificates=kernel.find('certificates', Certificates),
        ),
    }


def listener_context(
    kernel: Kernel,
    cfg: NodeSettings,
) -> ssl.SSLContext | None:
    """Return the TLS context of the caller listener, None without TLS."""
    if cfg.tls is None:
        return None
    return kernel.find('certificates', Certificates).reloading_context()


def _certificates_factory(tls: TlsSettings) -> Factory:
    return lambda kernel: Certificates(
        tls=tls,
        clock=kernel.find('clock', Clock),
    )
