"""Errors of the platform's services."""

from __future__ import annotations


class StoreError(Exception):
    """A service of the platform refused or failed.

    Raised as such only where the operation certainly had no effect.
    """


class StoreUnavailableError(StoreError):
    """No connection or a refusal for load: the operation had no effect."""


class StoreContentionError(StoreUnavailableError):
    """Another transaction held the same items: nothing was written."""


class StoreUnknownError(StoreError):
    """The answer was lost: a write may or may not have taken effect."""


class HistoryLostError(StoreError):
    """The store no longer has the changes that were asked for."""


class ConditionFailedError(StoreError):
    """The condition of a write did not hold; nothing was written.

    ``failed`` lists the indexes, from 0, of the items whose condition failed.
    """

    def __init__(self, *, failed: tuple[int, ...]) -> None:
        """Describe the items whose condition failed."""
        super().__init__(f'condition failed for items {failed}')
        self.failed = failed
