"""Errors of the service registry."""

from __future__ import annotations


class KernelError(Exception):
    """Base class of errors in the use of the registry."""


class ServiceMissingError(KernelError):
    """No service of that name and type is registered."""


class ServiceExistsError(KernelError):
    """A service of that name is already registered."""
