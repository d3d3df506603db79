"""Parses addresses from settings and the command line."""

from __future__ import annotations

import ipaddress
from urllib.parse import urlsplit

from savorystand.settings.node import Address

_MAX_PORT = 65535


class AddressError(ValueError):
    """A text is not an address; the message says why."""


def parse_address(text: str) -> Address:
    """Return the address written as ``IP:PORT``.

    Raises:
        AddressError: the host is not an IPv4 address or the port is not in
            1-65535.
    """
    host, _, port = text.rpartition(':')
    try:
        ip_address = ipaddress.IPv4Address(host)
    except ValueError:
        raise AddressError('the host is not an IPv4 address') from None
    digits = port.isascii() and port.isdecimal() and len(port) <= len('65535')
    if not digits or not 1 <= int(port) <= _MAX_PORT:
        raise AddressError('the port is not a number from 1 to 65535')
    return Address(host=str(ip_address), port=int(port))


def parse_service_url(text: str) -> Address:
    """Return the address of a URL written as ``http://IP:PORT``.

    Raises:
        AddressError: the text has another form.
    """
    try:
        parts = urlsplit(text)
    except ValueError:
        raise AddressError('it is not a URL') from None
    if parts.scheme != 'http':
        raise AddressError('the scheme is not http')
    if parts.path not in {'', '/'} or parts.query or parts.fragment:
        raise AddressError('it has a path, a query or a fragment')
    return parse_address(parts.netloc)


def is_loopback(address: Address) -> bool:
    """Return True if the address is reachable from this instance only."""
    return ipaddress.IPv4Address(address.host).is_loopback
