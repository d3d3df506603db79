"""Guards against responses that are wrongly counted as whole.

A response can be truncated or belong to another request. A refusal must be
counted under its own verdict and reason.
"""

from __future__ import annotations

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from savorystand.lab.callers.accounting import FOREIGN
from savorystand.lab.callers.accounting import WHOLE
from savorystand.lab.callers.accounting import verdict_of
from savorystand.lab.http_client import ClientResponse
from savorystand.lab.targets.target import echo


def _response(body: bytes) -> ClientResponse:
    return ClientResponse(status=200, headers={}, body=body)


@given(operation=st.text(), body=st.binary(), removed=st.integers(min_value=1))
def test_truncated_response_is_not_whole(
    operation: str, body: bytes, removed: int
) -> None:
    """A response that lacks bytes at its end must not count as whole."""
    whole = echo(operation, body)
    assert verdict_of(_response(whole), operation, body) == WHOLE
    truncated = whole[: -(removed % len(whole) or 1)]
    assert verdict_of(_response(truncated), operation, body) == FOREIGN


@given(body=st.binary(), other=st.binary())
def test_foreign_response_is_not_whole(body: bytes, other: bytes) -> None:
    """A response to another operation or body must not count as whole."""
    assert verdict_of(_response(echo('b', body)), 'a', body) == FOREIGN
    if other != body:
        assert verdict_of(_response(echo('a', other)), 'a', body) == FOREIGN


@pytest.mark.parametrize('verdict', ['not-run', 'may-have-run'])
def test_refusal_keeps_its_verdict(verdict: str) -> None:
    """A refusal is counted under its verdict, or as may-have-run without."""
    refusal = ClientResponse(
        status=503,
        headers={'savorystand-verdict': verdict},
        body=json.dumps({'reason': 'overloaded'}).encode(),
    )
    assert verdict_of(refusal, 'a', b'') == f'{verdict}/overloaded'
    unmarked = ClientResponse(status=502, headers={}, body=b'')
    assert verdict_of(unmarked, 'a', b'') == 'may-have-run/502'
