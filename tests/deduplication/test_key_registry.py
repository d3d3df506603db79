"""Guards against a request that runs twice under one key.

The registry is bounded: a request could run again once the record of its key
has been dropped.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from expression import Error
from expression import Ok
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import rule

from savorystand.call import Response
from savorystand.deduplication.key_registry import KeyRegistry
from savorystand.deduplication.key_registry import RunNow
from savorystand.deduplication.keys import IssuedKey
from savorystand.deduplication.keys import KeyIssuer
from savorystand.deduplication.keys import parse_issued
from savorystand.verdict import MayHaveRun
from savorystand.verdict import NotRun
from savorystand.verdict import Reason

if TYPE_CHECKING:
    from savorystand.call import Outcome

_OUTCOMES: tuple[Outcome, ...] = (
    Ok(Response(status=200, headers=(), body=b'done')),
    Error(MayHaveRun(reason=Reason.CONNECTION_LOST)),
    Error(NotRun(reason=Reason.OVERLOADED)),
)


def test_parse_rejects_foreign_keys() -> None:
    """A caller's own or forged key must not be accepted as an issued one."""
    issuer = KeyIssuer(node_id='ab')
    issued = parse_issued(issuer.issue())
    assert issued is not None
    assert issuer.verify(issued)
    forged = IssuedKey(node_id='ab', sequence=2, check=issued.check)
    assert not issuer.verify(forged)
    assert parse_issued('sk1.ab.x.y') is None


class KeyRegistryMachine(RuleBasedStateMachine):
    """Compares a small registry with an unbounded model."""

    def __init__(self) -> None:
        """Start with an empty registry and no runs."""
        super().__init__()
        self.issuer = KeyIssuer(node_id='ab')
        self.registry = KeyRegistry(max_records=3)
        self.keys: list[IssuedKey] = []
        self.running: dict[str, RunNow] = {}
        self.may_have_run: set[str] = set()

    @rule()
    def issue(self) -> None:
        """Issue another key."""
        key = parse_issued(self.issuer.issue())
        assert key is not None
        self.keys.append(key)

    @rule(pick=st.integers(0, 50))
    def begin(self, pick: int) -> None:
        """Begin an issued key; a request that may have run must not run."""
        if not self.keys:
            return
        key = self.keys[pick % len(self.keys)]
        decision = self.registry.begin_issued(key, b'same')
        if isinstance(decision, RunNow):
            assert key.text() not in self.may_have_run
            assert key.text() not in self.running
            self.running[key.text()] = decision

    @rule(pick=st.integers(0, 50), outcome=st.sampled_from(_OUTCOMES))
    def complete(self, pick: int, outcome: Outcome) -> None:
        """Complete a run; unless it is ``NotRun``, the key may have run."""
        if not self.running:
            return
        text = sorted(self.running)[pick % len(self.running)]
        self.registry.complete(self.running.pop(text), outcome)
        if not (outcome.is_error() and isinstance(outcome.error, NotRun)):
            self.may_have_run.add(text)

    @invariant()
    def bounded(self) -> None:
        """The number of records is bounded by the limit or the running runs."""
        assert len(self.registry) <= max(3, len(self.running))
        assert self.registry.running() == len(self.running)


TestKeyRegistry = KeyRegistryMachine.TestCase
