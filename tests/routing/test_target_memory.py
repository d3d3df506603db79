"""Guards against a restarted node that forgets what its target has said."""

from __future__ import annotations

from dataclasses import replace

from savorystand.call import TargetLoad
from savorystand.routing.target_memory import TargetMemory
from savorystand.target_notice import Incarnation
from savorystand.target_notice import TargetHint
from tests.policy_doubles import make_member

_OLD = make_member('before').peer
_NEW = replace(_OLD, node_id='after')
_LEFT = Incarnation(instance='i-1', started_ms=7)


def test_only_another_process_at_the_address_is_told() -> None:
    """The process that has reported a limit or a departure knows of it."""
    memory = TargetMemory()
    memory.record(_OLD, TargetLoad(rate_limit=3, leaving=_LEFT), 0)
    assert memory.hint(_OLD, 1) is None
    assert memory.hint(_NEW, 1) == TargetHint(rate_limit=3, left=_LEFT)
    assert memory.hint(replace(_NEW, port=2), 1) is None
    memory.record(_NEW, TargetLoad(rate_limit=4, leaving=_LEFT), 2)
    assert memory.hint(_NEW, 3) is None


def test_departure_outlives_reports_that_do_not_know_of_it() -> None:
    """A restarted node reports its target as serving until it is told."""
    memory = TargetMemory()
    memory.record(_OLD, TargetLoad(leaving=_LEFT), 0)
    memory.record(_NEW, TargetLoad(), 1)
    assert memory.hint(_NEW, 60000) == TargetHint(left=_LEFT)
    assert memory.hint(_NEW, 120000) is None


def test_remembered_limit_expires() -> None:
    """The target may have ended its limit since the last report."""
    memory = TargetMemory()
    memory.record(_OLD, TargetLoad(rate_limit=3), 0)
    assert memory.hint(_NEW, 9999) == TargetHint(rate_limit=3)
    assert memory.hint(_NEW, 10000) is None


def test_memory_is_bounded() -> None:
    """Addresses of replaced nodes must not accumulate."""
    memory = TargetMemory()
    for port in range(2000):
        memory.record(replace(_OLD, port=port), TargetLoad(rate_limit=3), 0)
    assert memory.hint(replace(_NEW, port=999), 1) is None
    assert memory.hint(replace(_NEW, port=1999), 1) is not None
