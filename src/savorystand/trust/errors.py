"""Errors of certificates."""

from __future__ import annotations


class CertificateError(Exception):
    """A certificate, key or authority cannot be used.

    The text names the file and never quotes its content.
    """
