"""Errors of certificates, keys and authorities."""

from __future__ import annotations


class CertificateError(Exception):
    """A certificate, key or authority file is missing or invalid.

    The message names the file and never quotes its content, which may be
    secret.
    """
