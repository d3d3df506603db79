"""Errors of the kernel."""

from __future__ import annotations


class KernelError(Exception):
    """The registry was used wrongly."""


class ServiceMissingError(KernelError):
    """No service of that name, or one of another type, is registered."""


class ServiceExistsError(KernelError):
    """A service of that name is registered already."""
