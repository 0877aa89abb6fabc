"""Parsers of the kinds of values that occur only in the settings."""

import re
from dataclasses import dataclass
from ipaddress import ip_address
from urllib.parse import urlsplit

from expression import Ok, Result

from foxtailway.config.finding import Defect
from foxtailway.config.value_kind import NumberKind, ValueKind, quote
from foxtailway.settings.model import SeedAddress

__all__ = ["AddressKind", "ChoiceKind", "PortKind", "SeedsKind", "UrlKind"]

# Largest number of seed addresses.
MAX_SEEDS = 64
SEED_PATTERN = re.compile(r"\[?([0-9A-Fa-f.:]+?)\]?:([0-9]{1,5})")


class PortKind(NumberKind):
    """TCP port."""

    def __init__(self) -> None:
        super().__init__(lowest="1", highest="65535")


@dataclass(frozen=True, slots=True, kw_only=True)
class ChoiceKind(ValueKind):
    """One of several words.

    Parameters
    ----------
    words : tuple of str
        Accepted words.
    """

    words: tuple[str, ...]

    @property
    def allowed(self) -> str:
        """Return the accepted words, separated by commas."""
        return ", ".join(self.words)

    def parse(self, text: str) -> Result[str, Defect]:
        """Return the word."""
        if text in self.words:
            return Ok(text)
        return self.make_error(f"{quote(text)} is not an accepted word")


@dataclass(frozen=True, slots=True, kw_only=True)
class AddressKind(ValueKind):
    """IP address of one host: neither multicast nor the unspecified address."""

    @property
    def allowed(self) -> str:
        """Return the description of accepted addresses."""
        return "the IP address of one host, for example 10.1.2.3"

    def parse(self, text: str) -> Result[str, Defect]:
        """Return the address."""
        try:
            address = ip_address(text)
        except ValueError:
            return self.make_error(f"{quote(text)} is not an IP address")
        if address.is_unspecified or address.is_multicast:
            return self.make_error(f"{text} is not the address of one host")
        return Ok(text)


@dataclass(frozen=True, slots=True, kw_only=True)
class UrlKind(ValueKind):
    """Base URL without credentials, query and fragment."""

    @property
    def allowed(self) -> str:
        """Return the description of accepted URLs."""
        return "an http or https URL without credentials, query and fragment"

    def parse(self, text: str) -> Result[str, Defect]:
        """Return the URL.

        A defect does not quote the text, which may contain a password.
        """
        try:
            parts = urlsplit(text)
            is_port_valid = parts.port != 0
        except ValueError:
            return self.make_error("the value is not a URL")
        if parts.scheme not in ("http", "https") or not parts.hostname:
            return self.make_error("the value is not an HTTP or HTTPS URL")
        has_extra_parts = "@" in parts.netloc or parts.query or parts.fragment
        if not is_port_valid or has_extra_parts or not text.isascii():
            return self.make_error("the URL has more than scheme, host, port and path")
        return Ok(text)


@dataclass(frozen=True, slots=True, kw_only=True)
class SeedsKind(ValueKind):
    """Mesh addresses of nodes, separated by white space."""

    @property
    def allowed(self) -> str:
        """Return the description of accepted addresses."""
        return f"up to {MAX_SEEDS} ADDRESS:PORT, separated by white space"

    def parse(self, text: str) -> Result[tuple[SeedAddress, ...], Defect]:
        """Return the addresses."""
        seeds = []
        for word in text.split():
            seed = parse_seed(word)
            if seed is None:
                return self.make_error(f"{quote(word)} is not ADDRESS:PORT")
            seeds.append(seed)
        if len(seeds) > MAX_SEEDS:
            return self.make_error(f"there are {len(seeds)} addresses")
        return Ok(tuple(seeds))


def parse_seed(text: str) -> SeedAddress | None:
    """Return the address of one seed, or None if the text is malformed."""
    match = SEED_PATTERN.fullmatch(text)
    if match is None:
        return None
    address = AddressKind().parse(match[1])
    port = PortKind().parse(match[2])
    if address.is_error() or port.is_error():
        return None
    return SeedAddress(address=address.ok, port=port.ok)
