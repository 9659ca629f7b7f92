"""Helpers that make and read certificates for the tests of the daemon."""

from __future__ import annotations

import datetime
import ipaddress
import ssl
from pathlib import Path

from attrs import frozen
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from ebonyhold.settings import TlsSettings

LOOPBACK = "127.0.0.1"
NOT_BEFORE = datetime.datetime(2020, 1, 1)
NOT_AFTER = datetime.datetime(2120, 1, 1)


@frozen
class Pair:
    """A self-signed certificate and its key, both as PEM."""

    certificate: bytes
    key: bytes


def make_pair(name: str) -> Pair:
    """Return a certificate for the loopback address with the given common name."""
    key = ec.generate_private_key(ec.SECP256R1())
    subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
    address = x509.IPAddress(ipaddress.ip_address(LOOPBACK))
    certificate = (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(subject)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(NOT_BEFORE)
        .not_valid_after(NOT_AFTER)
        .add_extension(x509.SubjectAlternativeName([address]), critical=False)
        .sign(key, hashes.SHA256())
    )
    return Pair(
        certificate.public_bytes(serialization.Encoding.PEM),
        key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        ),
    )


@frozen
class Files:
    """The certificate and key files of a listener in a folder."""

    folder: Path

    @property
    def tls(self) -> TlsSettings:
        """TLS settings with both file names."""
        return TlsSettings(str(self.certificate), str(self.key))

    @property
    def certificate(self) -> Path:
        """Path of the certificate file."""
        return self.folder / "tls.crt"

    @property
    def key(self) -> Path:
        """Path of the key file."""
        return self.folder / "tls.key"

    def put(self, pair: Pair) -> None:
        """Write a certificate and its key, the certificate first."""
        self.certificate.write_bytes(pair.certificate)
        self.key.write_bytes(pair.key)


def served_name(pem: str) -> str:
    """Return the common name of a certificate in PEM form."""
    certificate = x509.load_pem_x509_certificate(pem.encode())
    names = certificate.subject.get_attributes_for_oid(NameOID.COMMON_NAME)
    return str(names[0].value)


def certificate_at(address: str) -> str:
    """Make a TLS handshake and return the common name of the server's certificate."""
    host, _, port = address.rpartition(":")
    return served_name(ssl.get_server_certificate((host, int(port)), timeout=5.0))
