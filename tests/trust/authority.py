"""Certificate authority that issues certificates for tests."""

from __future__ import annotations

import datetime
from typing import TYPE_CHECKING

from cryptography import x509
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ec

from savorystand.settings.node import TlsSettings

if TYPE_CHECKING:
    from pathlib import Path


class Authority:
    """Issues certificates that it signs with a key of its own."""

    def __init__(self, directory: Path, name: str) -> None:
        """Create the authority and write its certificate to ``directory``."""
        self._directory = directory
        self._name = x509.Name(
            [x509.NameAttribute(x509.NameOID.COMMON_NAME, name)],
        )
        self._key = ec.generate_private_key(ec.SECP256R1())
        self.path = directory / f'{name}.pem'
        self.path.write_bytes(self._sign(self._name, self._key, ca=True))

    def issue(self, name: str) -> TlsSettings:
        """Write a new key and certificate of a node and return its settings."""
        key = ec.generate_private_key(ec.SECP256R1())
        subject = x509.Name(
            [x509.NameAttribute(x509.NameOID.COMMON_NAME, name)]
        )
        certificate = self._directory / f'{name}.pem'
        certificate.write_bytes(self._sign(subject, key, ca=False))
        key_path = self._directory / f'{name}.key'
        key_path.write_bytes(
            key.private_bytes(
                serialization.Encoding.PEM,
                serialization.PrivateFormat.PKCS8,
                serialization.NoEncryption(),
            ),
        )
        return TlsSettings(
            certificate=str(certificate),
            key=str(key_path),
            authority=str(self.path),
        )

    def _sign(
        self, subject: x509.Name, key: ec.EllipticCurvePrivateKey, *, ca: bool
    ) -> bytes:
        now = datetime.datetime.now(datetime.UTC)
        builder = (
            x509.CertificateBuilder()
            .subject_name(subject)
            .issuer_name(self._name)
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - datetime.timedelta(days=1))
            .not_valid_after(now + datetime.timedelta(days=1))
            .add_extension(x509.BasicConstraints(ca=ca, path_length=None), True)
        )
        certificate = builder.sign(self._key, hashes.SHA256())
        return certificate.public_bytes(serialization.Encoding.PEM)
