"""Errors of the platform's storage services."""

from __future__ import annotations


class StoreError(Exception):
    """A storage service refused or failed an operation.

    The operation certainly had no effect, except in ``StoreUnknownError``.
    """


class StoreUnavailableError(StoreError):
    """Service unreachable or overloaded; the operation had no effect."""


class StoreContentionError(StoreUnavailableError):
    """Another transaction was using the same items; nothing was written."""


class StoreUnknownError(StoreError):
    """The response was lost; a write may or may not have taken effect."""


class HistoryLostError(StoreError):
    """The store no longer keeps all of the requested changes."""


class ConditionFailedError(StoreError):
    """The condition of a write was false; nothing was written.

    ``failed`` lists the indexes, from 0, of the items whose condition failed.
    """

    def __init__(self, *, failed: tuple[int, ...]) -> None:
        """Create the error for the items at the indexes ``failed``."""
        super().__init__(f'condition failed for items with indexes {failed}')
        self.failed = failed
