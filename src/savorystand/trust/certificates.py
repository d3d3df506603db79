"""TLS contexts of a node, reloaded when their files change."""

from __future__ import annotations

import ssl
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING
from typing import TypeAlias
from typing import final

from logbook import Logger

from savorystand.kernel.service import Service
from savorystand.trust.errors import CertificateError

if TYPE_CHECKING:
    from anyio.abc import TaskStatus

    from savorystand.clock import Clock
    from savorystand.settings.node import TlsSettings

_CHECK_INTERVAL_MS = 3000
_log = Logger('savorystand')

# Modification time in ns, size and inode of each file. The inode reveals a
# replacement with the same time and size.
_FileVersions: TypeAlias = tuple[tuple[int, int, int], ...]


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class TlsContexts:
    """TLS contexts loaded from one version of the files.

    ``connect`` and ``accept`` are for peer connections and require a
    certificate signed by the authority; ``callers`` requires no client
    certificate.
    """

    connect: ssl.SSLContext
    accept: ssl.SSLContext
    callers: ssl.SSLContext


class Certificates(Service):
    """Holds the contexts for new connections.

    Open connections keep the context that they were established with.
    """

    __slots__ = ('_clock', '_file_versions', '_tls', 'contexts')

    def __init__(self, *, tls: TlsSettings, clock: Clock) -> None:
        """Load the files that ``tls`` names.

        Raises:
            CertificateError: a file is missing or invalid.
        """
        self._tls = tls
        self._clock = clock
        self._file_versions = _file_versions(tls)
        self.contexts = load_contexts(tls)

    async def run(self, *, task_status: TaskStatus[None]) -> None:
        """Reload changed files every ``_CHECK_INTERVAL_MS`` until cancelled."""
        task_status.started()
        while True:
            await self._clock.sleep(_CHECK_INTERVAL_MS)
            self.refresh()

    def refresh(self) -> bool:
        """Reload the files if they have changed; return True if reloaded.

        Files may be invalid, for example in the middle of a replacement. The
        contexts then stay as they are, and the next check tries again.
        """
        try:
            file_versions = _file_versions(self._tls)
            if file_versions == self._file_versions:
                return False
            contexts = load_contexts(self._tls)
        except CertificateError as exc:
            _log.error('event=certificates_refused why="{}"', exc)
            return False
        self._file_versions = file_versions
        self.contexts = contexts
        _log.info('event=certificates_reloaded file={}', self._tls.certificate)
        return True

    def reloading_context(self) -> ssl.SSLContext:
        """Return a context that uses the current files for each handshake.

        For a listener of callers, which keeps one context for its lifetime.
        """
        context = load_contexts(self._tls).callers
        # OpenSSL calls this callback even if the client sends no server name.
        context.sni_callback = self._switch_context
        return context

    def _switch_context(
        self,
        handshake: ssl.SSLObject,
        server_name: str | None,
        context: ssl.SSLContext,
    ) -> None:
        handshake.context = self.contexts.callers


def load_contexts(tls: TlsSettings) -> TlsContexts:
    """Return new contexts loaded from the files.

    Raises:
        CertificateError: a file is missing or invalid.
    """
    connect = _new_context(ssl.PROTOCOL_TLS_CLIENT, tls)
    # Peers are addressed by IP, which the authority does not certify: any node
    # with one of its certificates may have any address.
    connect.check_hostname = False
    accept = _new_context(ssl.PROTOCOL_TLS_SERVER, tls)
    accept.verify_mode = ssl.CERT_REQUIRED
    for context in (connect, accept):
        # Both ends are nodes, so that no older version has to be supported.
        context.minimum_version = ssl.TLSVersion.TLSv1_3
        _load_authority(context, tls.authority)
    callers = _new_context(ssl.PROTOCOL_TLS_SERVER, tls)
    return TlsContexts(connect=connect, accept=accept, callers=callers)


def authority_context(authority: Path) -> ssl.SSLContext:
    """Return the context of a client that has no certificate.

    Raises:
        CertificateError: the authority's file is missing or invalid.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.check_hostname = False
    _load_authority(context, str(authority))
    return context


def _new_context(protocol: int, tls: TlsSettings) -> ssl.SSLContext:
    context = ssl.SSLContext(protocol)
    try:
        # ``str`` returns an empty password. Without a password function,
        # OpenSSL would ask for one on the terminal.
        context.load_cert_chain(tls.certificate, tls.key, password=str)
    except (OSError, ValueError) as exc:
        files = f'certificate {tls.certificate} or key {tls.key}'
        raise CertificateError(
            f'cannot load {files}: {_error_text(exc)}'
        ) from None
    return context


def _load_authority(context: ssl.SSLContext, authority: str) -> None:
    try:
        context.load_verify_locations(cafile=authority)
    except (OSError, ValueError) as exc:
        raise CertificateError(
            f'cannot load authority {authority}: {_error_text(exc)}',
        ) from None


def _error_text(exc: Exception) -> str:
    match exc:
        case ssl.SSLError(reason=str() as reason):
            return reason
        case OSError(strerror=str() as text):
            return text
        case _:
            return 'invalid'


def _file_versions(tls: TlsSettings) -> _FileVersions:
    return tuple(
        _file_version(name)
        for name in (tls.certificate, tls.key, tls.authority)
    )


def _file_version(name: str) -> tuple[int, int, int]:
    try:
        stat = Path(name).stat()
    except OSError as exc:
        raise CertificateError(f'cannot read {name}: {exc.strerror}') from None
    return stat.st_mtime_ns, stat.st_size, stat.st_ino
