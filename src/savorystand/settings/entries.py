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

# Bounds the strings that are sent in each member record and each request.
_MAX_TEXT_CHARS = 256
_ADDRESS_REMEDY = (
    'write it as "IP:PORT" with an IPv4 address and a port 1-65535'
)
_URL_REMEDY = 'write it as "http://IP:PORT"'


class Entries:
    """The entries of one table of a settings file.

    Errors name the line of the entry.
    """

    __slots__ = ('_path', '_section', '_table', '_text')

    def __init__(
        self,
        *,
        path: Path,
        text: TomlText,
        section: str,
        table: dict[str, Any],
    ) -> None:
        """Read from the table ``section``; it is empty for the top level."""
        self._path = path
        self._text = text
        self._section = section
        self._table = table

    def text(self, name: str) -> str:
        """Return a string of 1 to 256 printable characters.

        Raises:
            SettingsError: the entry is missing or not of this kind.
        """
        entry = self._required(name)
        if not isinstance(entry, str):
            raise self.error(name, 'is not a string', 'put it in quotes')
        if not 0 < len(entry) <= _MAX_TEXT_CHARS or not entry.isprintable():
            bound = f'write 1 to {_MAX_TEXT_CHARS} printable characters'
            raise self.error(name, 'is empty, too long or not printable', bound)
        return entry

    def secret(self, name: str) -> str:
        """Return a secret key, which must be valid in an HTTP header.

        Raises:
            SettingsError: the entry is missing or not of this kind.
        """
        entry = self.text(name)
        if not entry.isascii() or ' ' in entry:
            remedy = 'use ASCII characters without spaces'
            raise self.error(name, 'does not fit in an HTTP header', remedy)
        return entry

    def integer(self, name: str, allowed: range) -> int:
        """Return an integer that is one of ``allowed``.

        Raises:
            SettingsError: the entry is missing or not of this kind.
        """
        entry = self._required(name)
        # True and false are integers in Python.
        is_integer = isinstance(entry, int) and not isinstance(entry, bool)
        if is_integer and entry in allowed:
            return int(entry)
        largest = max(allowed)
        problem = f'is not an integer from {allowed.start} to {largest}'
        raise self.error(name, problem, 'write one without quotes')

    def address(self, name: str) -> Address:
        """Return an address written as ``IP:PORT``.

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
            SettingsError: the entry is missing or not of this kind.
        """
        entry = self._required(name)
        if not isinstance(entry, list):
            remedy = 'write it as a list of "IP:PORT"'
            raise self.error(name, 'is not a list', remedy)
        if not all(isinstance(element, str) for element in entry):
            raise self.error(
                name, 'has an element that is not a string', _ADDRESS_REMEDY
            )
        try:
            return tuple(parse_address(element) for element in entry)
        except AddressError as exc:
            raise self.error(name, f'{exc}', _ADDRESS_REMEDY) from None

    def url(self, name: str) -> str:
        """Return a URL written as ``http://IP:PORT``.

        Raises:
            SettingsError: the entry is missing or not such a URL.
        """
        try:
            address = parse_service_url(self.text(name))
        except AddressError as exc:
            raise self.error(name, f'{exc}', _URL_REMEDY) from None
        return f'http://{address.text()}'

    def refuse_unknown(self, known: tuple[str, ...]) -> None:
        """Check that the table has only entries in ``known``.

        Raises:
            SettingsError: it has another one. The error omits its name, which
                may be a secret key if a quote is misplaced.
        """
        for name in self._table:
            if name not in known:
                where = f'[{self._section}]' if self._section else 'top level'
                names = ', '.join(known)
                raise SettingsError(
                    path=self._path,
                    line=self._line(name),
                    problem=f'unknown entry in {where}',
                    remedy=f'remove it; known entries are {names}',
                )

    def error(self, name: str, problem: str, remedy: str) -> SettingsError:
        """Return an error with the line of an entry."""
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
