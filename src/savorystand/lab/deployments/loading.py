"""Loads the sample deployments from their TOML files."""

from __future__ import annotations

import tomllib
from importlib.resources import files

from savorystand.lab.deployments.deployment import Deployment
from savorystand.lab.deployments.deployment import LabPool
from savorystand.lab.deployments.deployment import LabRoute
from savorystand.lab.deployments.deployment import Roles

DEPLOYMENTS = ('tabua', 'peachtree')


def load_deployment(name: str) -> Deployment:
    """Load the deployment of that name.

    Raises:
        OSError: no file has that name.
    """
    path = files('savorystand.lab.deployments') / f'{name}.toml'
    document = tomllib.loads(path.read_text())
    return Deployment(
        name=document['name'],
        regions=tuple(document['regions']),
        client_ms=document['client_ms'],
        pools=tuple(LabPool(**row) for row in document['pool']),
        routes=tuple(LabRoute(**row) for row in document['route']),
        roles=Roles(**document['roles']),
    )
