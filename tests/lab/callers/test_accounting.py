"""Failures: an answer that is cut or another request's counts as whole."""

from __future__ import annotations

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from savorystand.lab.callers.accounting import FOREIGN
from savorystand.lab.callers.accounting import WHOLE
from savorystand.lab.callers.accounting import judge
from savorystand.lab.http_client import ClientResponse
from savorystand.lab.targets.target import echo


def _answer(body: bytes) -> ClientResponse:
    return ClientResponse(status=200, headers={}, body=body)


@given(operation=st.text(), body=st.binary(), cut=st.integers(min_value=1))
def test_truncated_answer_is_not_whole(
    operation: str, body: bytes, cut: int
) -> None:
    """Any cut of an answer must be seen by its receiver."""
    whole = echo(operation, body)
    assert judge(_answer(whole), operation, body) == WHOLE
    part = whole[: -(cut % len(whole) or 1)]
    assert judge(_answer(part), operation, body) == FOREIGN


@given(body=st.binary(), other=st.binary())
def test_foreign_answer_is_not_whole(body: bytes, other: bytes) -> None:
    """An answer to another operation or body must not count."""
    assert judge(_answer(echo('b', body)), 'a', body) == FOREIGN
    if other != body:
        assert judge(_answer(echo('a', other)), 'a', body) == FOREIGN


@pytest.mark.parametrize('verdict', ['not-run', 'may-have-run'])
def test_refusal_keeps_its_verdict(verdict: str) -> None:
    """A refusal must be counted under what it says."""
    refusal = ClientResponse(
        status=503,
        headers={'savorystand-verdict': verdict},
        body=json.dumps({'reason': 'overloaded'}).encode(),
    )
    assert judge(refusal, 'a', b'') == f'{verdict}/overloaded'
    unmarked = ClientResponse(status=502, headers={}, body=b'')
    assert judge(unmarked, 'a', b'') == 'may-have-run/502'
