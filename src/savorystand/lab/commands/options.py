"""Options and parameter types that several commands share."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any
from typing import TypeAlias

import click

from savorystand.lab.deployments.loading import DEPLOYMENTS
from savorystand.settings.node import Address

Command: TypeAlias = Callable[..., Any]


class AddressType(click.ParamType[Address]):
    """Parameter type of an address in the form ``IP:PORT``."""

    name = 'ip:port'

    def convert(
        self,
        value: str | Address,  # noqa: WPS110 - name given by click
        param: click.Parameter | None,  # noqa: WPS110 - given by click
        ctx: click.Context | None,
    ) -> Address:
        """Return the address that a parameter gives.

        Raises:
            click.BadParameter: the parameter is not of the form ``IP:PORT``.
        """
        if isinstance(value, Address):
            return value
        host, _, port = value.rpartition(':')
        if not host or not port.isdecimal():
            self.fail(f'{value} is not of the form IP:PORT', param, ctx)
        return Address(host=host, port=int(port))


ADDRESS = AddressType()


def deployment_options(command: Command) -> Command:
    """Add the options ``--deployment`` and ``--seed`` to a command."""
    seed = click.option('--seed', type=int, default=1, show_default=True)
    deployment = click.option(
        '--deployment',
        type=click.Choice(DEPLOYMENTS),
        default=DEPLOYMENTS[0],
        show_default=True,
    )
    return deployment(seed(command))
