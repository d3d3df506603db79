"""Catalogue of all experiments by name."""

from __future__ import annotations

from types import MappingProxyType
from typing import TYPE_CHECKING

from savorystand.lab.experiments import config
from savorystand.lab.experiments import crest
from savorystand.lab.experiments import drain
from savorystand.lab.experiments import outage
from savorystand.lab.experiments import partition
from savorystand.lab.experiments import silent
from savorystand.lab.experiments import slowed
from savorystand.lab.experiments import surge
from savorystand.lab.experiments import uploads

if TYPE_CHECKING:
    from collections.abc import Mapping

    from savorystand.lab.experiments.experiment import Experiment

_MODULES = (
    surge,
    uploads,
    crest,
    slowed,
    outage,
    partition,
    silent,
    drain,
    config,
)
EXPERIMENTS: Mapping[str, Experiment] = MappingProxyType(
    {module.EXPERIMENT.name: module.EXPERIMENT for module in _MODULES},
)
