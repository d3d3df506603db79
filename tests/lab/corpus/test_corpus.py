"""Failures: a case of the corpus is accepted, or a run is not repeatable."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorystand.lab.corpus.cases import Case
from savorystand.lab.corpus.cases import Kind
from savorystand.lab.corpus.cases import load_cases
from savorystand.lab.corpus.decoders import accepts
from savorystand.lab.corpus.decoders import stays_on_loopback
from savorystand.lab.corpus.mutations import mutated
from savorystand.lab.corpus.samples import samples

if TYPE_CHECKING:
    from pathlib import Path

    import pytest


def test_decoders_refuse_the_corpus(
    pytestconfig: pytest.Config, tmp_path: Path
) -> None:
    """Every case has its fault, every starting point of mutations none."""
    cases = load_cases(pytestconfig.rootpath / 'tests' / 'corpus')
    assert {case.kind for case in cases} == set(Kind)
    taken = [case.name for case in cases if accepts(case, tmp_path)]
    assert taken == []
    for kind in set(Kind) - {Kind.HTTP}:
        for payload in samples(kind):
            sound = Case(kind=kind, name='sample', payload=payload)
            assert accepts(sound, tmp_path)
            assert stays_on_loopback(sound)


def test_mutations_are_refused_or_valid(tmp_path: Path) -> None:
    """The same seed gives the same messages, and no decoder crashes."""
    cases = list(mutated(7, 500))
    assert cases == list(mutated(7, 500))
    for case in cases:
        accepts(case, tmp_path)
