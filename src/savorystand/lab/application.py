"""Command group ``savorystand-lab``."""

from __future__ import annotations

import click

from savorystand.lab.children import stop_with_parent
from savorystand.lab.commands.callers import callers
from savorystand.lab.commands.corpus import corpus
from savorystand.lab.commands.demo import demo
from savorystand.lab.commands.fuzz import fuzz
from savorystand.lab.commands.node import node
from savorystand.lab.commands.overhead import overhead
from savorystand.lab.commands.platform import platform
from savorystand.lab.commands.run import run
from savorystand.lab.commands.slopes import slopes
from savorystand.lab.commands.soak import soak
from savorystand.lab.commands.targets import targets


@click.group()
def main() -> None:
    """Run stand-ins and experiments; not part of the deployed system."""
    stop_with_parent()


main.add_command(callers)
main.add_command(corpus)
main.add_command(demo)
main.add_command(fuzz)
main.add_command(node)
main.add_command(overhead)
main.add_command(platform)
main.add_command(run)
main.add_command(slopes)
main.add_command(soak)
main.add_command(targets)
