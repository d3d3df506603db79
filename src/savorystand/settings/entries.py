"""Typed access to the entries of a settings file."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from savorystand.settings.addresses import AddressError
from savorystand.settings.addresses import parse_address
from savorystand.settings.addresses import parse_service_url
from savorystand.settings.errors import SettingsError

if TYPE_CHECKING:
    from pathlib import Path

    from savorystand.settings.node import Address
    from savorystand.toml.reader import TomlText

# Bounds the texts that travel in every member record and every request.
_MAX_TEXT = 256
_ADDRESS_REMEDY = 'write it as "IP:PORT" with an IP number and a port 1-65535'
_URL_REMEDY = 'write it as "http://IP:PORT"'


class Entries:
    """One table of a settings file; refuses with the line of the entry."""

    __slots__ = ('_path', '_section', '_table', '_text')

    def __init__(
        self,
        *,
        path: Path,
        text: TomlText,
        section: str,
        table: dict[str, Any],
    ) -> None:
        """Read the table ``section`` of the file at ``path``."""
        self._path = path
        self._text = text
        self._section = section
        self._table = table

    def text(self, name: str) -> str:
        """Return a text of 1 to 256 printable characters.

        Raises:
            SettingsError: the entry is missing or something else.
        """
        entry = self._required(name)
        if not isinstance(entry, str):
            raise self.error(name, 'is not a text', 'put it in quotes')
        if not 0 < len(entry) <= _MAX_TEXT or not entry.isprintable():
            bound = f'write 1 to {_MAX_TEXT} printable characters'
            raise self.error(name, 'is empty, too long or not printable', bound)
        return entry

    def secret(self, name: str) -> str:
        """Return a key, which must fit in an HTTP header.

        Raises:
            SettingsError: the entry is missing or something else.
        """
        entry = self.text(name)
        if not entry.isascii() or ' ' in entry:
            remedy = 'use ASCII characters without spaces'
            raise self.error(name, 'does not fit in an HTTP header', remedy)
        return entry

    def address(self, name: str) -> Address:
        """Return an address.

        Raises:
            SettingsError: the entry is missing or not an address.
        """
        try:
            return parse_address(self.text(name))
        except AddressError as exc:
            raise self.error(name, f'{exc}', _ADDRESS_REMEDY) from None

    def addresses(self, name: str) -> tuple[Address, ...]:
        """Return a list of addresses, which may be empty.

        Raises:
            SettingsError: the entry is missing or something else.
        """
        entry = self._required(name)
        if not isinstance(entry, list):
            remedy = 'write it as a list of "IP:PORT"'
            raise self.error(name, 'is not a list', remedy)
        if not all(isinstance(one, str) for one in entry):
            raise self.error(name, 'lists something else', _ADDRESS_REMEDY)
        try:
            return tuple(parse_address(one) for one in entry)
        except AddressError as exc:
            raise self.error(name, f'{exc}', _ADDRESS_REMEDY) from None

    def url(self, name: str) -> str:
        """Return the URL of a service.

        Raises:
            SettingsError: the entry is missing or not such a URL.
        """
        try:
            address = parse_service_url(self.text(name))
        except AddressError as exc:
            raise self.error(name, f'{exc}', _URL_REMEDY) from None
        return f'http://{address.text()}'

    def refuse_unknown(self, known: tuple[str, ...]) -> None:
        """Check that the table has no other entries.

        Raises:
            SettingsError: it has one. Its name is not part of the error, as
                a misplaced quote may have made it of a key.
        """
        for name in self._table:
            if name not in known:
                where = f'[{self._section}]' if self._section else 'top level'
                names = ', '.join(known)
                raise SettingsError(
                    path=self._path,
                    line=self._line(name),
                    problem=f'unknown entry in {where}',
                    remedy=f'remove it; known are {names}',
                )

    def error(self, name: str, problem: str, remedy: str) -> SettingsError:
        """Return an error at the line of an entry."""
        label = f'{self._section}.{name}' if self._section else name
        return SettingsError(
            path=self._path,
            line=self._line(name),
            problem=f'{label}: {problem}',
            remedy=remedy,
        )

    def _required(self, name: str) -> Any:
        if name not in self._table:
            raise self.error(name, 'is missing', 'add it')
        return self._table[name]

    def _line(self, name: str) -> int:
        path = (self._section, name) if self._section else (name,)
        return self._text.line(path)
