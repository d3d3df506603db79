"""Options and exit codes of commands that query nodes."""

from __future__ import annotations

import ipaddress
from pathlib import Path
from typing import TYPE_CHECKING

import click

from savorystand.console.client import NodeAccess
from savorystand.trust.certificates import authority_context
from savorystand.trust.errors import CertificateError

if TYPE_CHECKING:
    from collections.abc import Callable

EXIT_NODE_MISSING = 1
EXIT_UNREACHABLE = 3


class NodeAddress(click.ParamType[str]):
    """An address ``IP:PORT`` with an IPv4 address."""

    name = 'IP:PORT'

    def convert(
        self,
        value: str,  # noqa: WPS110 (named by click)
        param: click.Parameter | None,  # noqa: WPS110 (named by click)
        ctx: click.Context | None,
    ) -> str:
        """Return the address unchanged.

        Raises:
            click.BadParameter: the text is not an address.
        """
        host, _, port = value.rpartition(':')
        try:
            ipaddress.IPv4Address(host)
        except ValueError:
            self.fail(
                f'{value!r} does not start with an IPv4 address', param, ctx
            )
        if not port.isdecimal():
            self.fail(f'{value!r} does not end with a port number', param, ctx)
        return value


def node_options(
    command: Callable[..., None],
) -> Callable[..., None]:
    """Add the options for the nodes, the credentials and JSON output."""
    options = (
        click.option(
            '--node',
            'nodes',
            type=NodeAddress(),
            multiple=True,
            required=True,
            help="Address of a node's listener for callers; repeatable.",
        ),
        click.option(
            '--key-file',
            type=click.Path(exists=True, dir_okay=False, path_type=Path),
            required=True,
            help='File with the administration key.',
        ),
        click.option(
            '--authority',
            type=click.Path(exists=True, dir_okay=False, path_type=Path),
            help='PEM file of the certificate authority, for nodes with [tls].',
        ),
        click.option('--json', 'as_json', is_flag=True, help='Print JSON.'),
    )
    for option in reversed(options):
        command = option(command)
    return command


def read_access(key_file: Path, authority: Path | None) -> NodeAccess:
    """Return the credentials that the options specify.

    Raises:
        click.FileError: a file cannot be read or holds no certificate.
    """
    admin_key = read_key(key_file)
    if authority is None:
        return NodeAccess(admin_key=admin_key)
    try:
        return NodeAccess(admin_key=admin_key, tls=authority_context(authority))
    except CertificateError as exc:
        raise click.FileError(str(authority), hint=str(exc)) from exc


def read_key(path: Path) -> str:
    """Return the key in a file without surrounding white space.

    Raises:
        click.FileError: the file cannot be read or is not valid text.
    """
    try:
        return path.read_text().strip()
    except (OSError, UnicodeDecodeError) as exc:
        raise click.FileError(str(path), hint=str(exc)) from exc
