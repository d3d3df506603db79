"""Parameter types shared by the lab's commands."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any
from typing import TypeAlias

import click

from savorystand.lab.deployments.loading import DEPLOYMENTS
from savorystand.settings.node import Address

Command: TypeAlias = Callable[..., Any]


class AddressType(click.ParamType[Address]):
    """An address given as ``IP:PORT``."""

    name = 'ip:port'

    def convert(
        self,
        value: str | Address,  # noqa: WPS110 - name given by click
        param: click.Parameter | None,  # noqa: WPS110 - given by click
        ctx: click.Context | None,
    ) -> Address:
        """Return the address.

        Raises:
            click.BadParameter: it is malformed.
        """
        if isinstance(value, Address):
            return value
        host, _, port = value.rpartition(':')
        if not host or not port.isdecimal():
            self.fail(f'{value} is not IP:PORT', param, ctx)
        return Address(host=host, port=int(port))


ADDRESS = AddressType()


def deployment_options(command: Command) -> Command:
    """Add the options that choose a deployment and a seed."""
    seed = click.option('--seed', type=int, default=1, show_default=True)
    deployment = click.option(
        '--deployment',
        type=click.Choice(DEPLOYMENTS),
        default=DEPLOYMENTS[0],
        show_default=True,
    )
    return deployment(seed(command))
