"""Kinds of values that settings may have."""

import re
from abc import ABC, abstractmethod
from dataclasses import dataclass
from ipaddress import ip_address
from typing import Any
from urllib.parse import urlsplit

from foxtailway.common.quantity import (
    format_duration,
    format_size,
    parse_duration,
    parse_size,
)
from foxtailway.settings.model import SeedAddress

__all__ = [
    "AddressValue",
    "ChoiceValue",
    "DurationValue",
    "IntegerValue",
    "NameValue",
    "SeedsValue",
    "SettingValue",
    "SizeValue",
    "UrlValue",
]

SMALLEST_PORT = 1
LARGEST_PORT = 65_535
MAX_SEEDS = 64
MAX_INTEGER_DIGITS = 9
NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
SEED_PATTERN = re.compile(r"\[?([0-9A-Fa-f.:]+?)\]?:([0-9]{1,5})")


class SettingValue(ABC):
    """Check the text of one setting."""

    unit: str

    @abstractmethod
    def parse(self, text: str) -> Any | None:
        """Return the value, or None when `text` is not allowed."""

    @abstractmethod
    def describe(self) -> str:
        """Return what is allowed."""


@dataclass(frozen=True, slots=True, kw_only=True)
class DurationValue(SettingValue):
    """Duration with its unit, within bounds in seconds."""

    smallest_s: float
    largest_s: float
    unit: str = "ms, s, min or h"

    def parse(self, text: str) -> float | None:
        """Return the duration in seconds."""
        duration_s = parse_duration(text)
        if duration_s is None or not self.smallest_s <= duration_s <= self.largest_s:
            return None
        return duration_s

    def describe(self) -> str:
        """Return the bounds."""
        smallest = format_duration(self.smallest_s)
        return f"{smallest} to {format_duration(self.largest_s)}"


@dataclass(frozen=True, slots=True, kw_only=True)
class SizeValue(SettingValue):
    """Size with its unit, within bounds in bytes."""

    smallest: int
    largest: int
    unit: str = "B, KB or MB"

    def parse(self, text: str) -> int | None:
        """Return the size in bytes."""
        size = parse_size(text)
        if size is None or not self.smallest <= size <= self.largest:
            return None
        return size

    def describe(self) -> str:
        """Return the bounds."""
        return f"{format_size(self.smallest)} to {format_size(self.largest)}"


@dataclass(frozen=True, slots=True, kw_only=True)
class IntegerValue(SettingValue):
    """Whole number within bounds."""

    smallest: int
    largest: int
    unit: str = "none"

    def parse(self, text: str) -> int | None:
        """Return the number."""
        if not (text.isascii() and text.isdigit()) or len(text) > MAX_INTEGER_DIGITS:
            return None
        number = int(text)
        return number if self.smallest <= number <= self.largest else None

    def describe(self) -> str:
        """Return the bounds."""
        return f"whole number, {self.smallest} to {self.largest}"


@dataclass(frozen=True, slots=True, kw_only=True)
class NameValue(SettingValue):
    """Identifier."""

    unit: str = "none"

    def parse(self, text: str) -> str | None:
        """Return the identifier."""
        return text if NAME_PATTERN.fullmatch(text) else None

    def describe(self) -> str:
        """Return the allowed characters."""
        return "1 to 63 letters, digits, '.', '_' and '-', a letter or digit first"


@dataclass(frozen=True, slots=True, kw_only=True)
class ChoiceValue(SettingValue):
    """One of several words."""

    choices: tuple[str, ...]
    unit: str = "none"

    def parse(self, text: str) -> str | None:
        """Return the word."""
        return text if text in self.choices else None

    def describe(self) -> str:
        """Return the words."""
        return ", ".join(self.choices)


@dataclass(frozen=True, slots=True, kw_only=True)
class AddressValue(SettingValue):
    """IP address of one host."""

    unit: str = "none"

    def parse(self, text: str) -> str | None:
        """Return the address."""
        try:
            address = ip_address(text)
        except ValueError:
            return None
        if address.is_unspecified or address.is_multicast:
            return None
        return text

    def describe(self) -> str:
        """Return the allowed form."""
        return "IP address of one host, for example 10.1.2.3"


@dataclass(frozen=True, slots=True, kw_only=True)
class UrlValue(SettingValue):
    """Base URL without credentials, query and fragment."""

    unit: str = "none"

    def parse(self, text: str) -> str | None:
        """Return the URL."""
        try:
            parts = urlsplit(text)
            is_port_valid = parts.port is None or parts.port >= SMALLEST_PORT
        except ValueError:
            return None
        if parts.scheme not in ("http", "https") or not parts.hostname:
            return None
        if not is_port_valid or "@" in parts.netloc or parts.query or parts.fragment:
            return None
        return text if text.isascii() and text.isprintable() else None

    def describe(self) -> str:
        """Return the allowed form."""
        return "http or https URL without credentials, query and fragment"


@dataclass(frozen=True, slots=True, kw_only=True)
class SeedsValue(SettingValue):
    """Mesh addresses, separated by blanks or lines."""

    unit: str = "none"

    def parse(self, text: str) -> tuple[SeedAddress, ...] | None:
        """Return the addresses."""
        seeds = tuple(parse_seed(item) for item in text.split())
        return None if None in seeds or len(seeds) > MAX_SEEDS else seeds

    def describe(self) -> str:
        """Return the allowed form."""
        return f"up to {MAX_SEEDS} of ADDRESS:PORT, separated by blanks or lines"


def parse_seed(text: str) -> SeedAddress | None:
    """Return the address of one seed; None when it is malformed."""
    match = SEED_PATTERN.fullmatch(text)
    if match is None:
        return None
    address = AddressValue().parse(match[1])
    port = IntegerValue(smallest=SMALLEST_PORT, largest=LARGEST_PORT).parse(match[2])
    if address is None or port is None:
        return None
    return SeedAddress(address=address, port=port)
