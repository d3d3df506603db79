"""Guards against decoders that accept malformed messages or crash on them.

Mutations of valid messages must be the same for the same seed; otherwise a
crash that a run finds could not be reproduced.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorystand.lab.corpus.cases import Case
from savorystand.lab.corpus.cases import Kind
from savorystand.lab.corpus.cases import load_cases
from savorystand.lab.corpus.decoders import accepts
from savorystand.lab.corpus.decoders import stays_on_loopback
from savorystand.lab.corpus.mutations import generate_mutations
from savorystand.lab.corpus.samples import samples

if TYPE_CHECKING:
    from pathlib import Path

    import pytest


def test_decoders_refuse_the_corpus(
    pytestconfig: pytest.Config, tmp_path: Path
) -> None:
    """Decoders refuse every case and accept every sample for mutations."""
    cases = load_cases(pytestconfig.rootpath / 'tests' / 'corpus')
    assert {case.kind for case in cases} == set(Kind)
    accepted = [case.name for case in cases if accepts(case, tmp_path)]
    assert accepted == []
    for kind in set(Kind) - {Kind.HTTP}:
        for payload in samples(kind):
            valid = Case(kind=kind, name='sample', payload=payload)
            assert accepts(valid, tmp_path)
            assert stays_on_loopback(valid)


def test_mutations_are_refused_or_valid(tmp_path: Path) -> None:
    """The same seed gives the same messages, and decoders do not crash."""
    cases = list(generate_mutations(7, 500))
    assert cases == list(generate_mutations(7, 500))
    for case in cases:
        accepts(case, tmp_path)
