"""Parsing and validation of durations, names, counts and addresses."""

from ipaddress import ip_address

__all__ = [
    "parse_ip_endpoint",
    "parse_milliseconds",
    "parse_seconds",
    "require_count",
    "require_header_text",
    "require_rate",
    "require_text",
]

MAX_PORT = 65_535
# Last character of Latin-1, in which headers are encoded.
MAX_HEADER_CHARACTER = "\xff"
# Largest count that is accepted. Greater ones can't be packed, or lose digits in
# arithmetic with floats.
MAX_COUNT = 2**53
# Length of a value in characters up to which it is repeated in an error.
MAX_SHOWN_CHARS = 80

# Longest duration that is accepted: one day.
MAX_DURATION_MS = 86_400_000


def parse_milliseconds(value: object) -> float:
    """Return the duration in seconds of an integer number of milliseconds.

    Raises
    ------
    ValueError
        If the value is no non-negative integer or exceeds one day.

    Examples
    --------
    >>> parse_milliseconds(1500)
    1.5
    """
    if require_count(value) > MAX_DURATION_MS:
        raise ValueError(f"duration must be at most one day: {value!r}")
    return value / 1000


def parse_seconds(text: str) -> float:
    """Return the duration in seconds of a decimal number of seconds.

    Raises
    ------
    ValueError
        If the text is no number, negative, or exceeds one day.

    Examples
    --------
    >>> parse_seconds("2.5")
    2.5
    """
    seconds = float(text)
    if not 0 <= seconds <= MAX_DURATION_MS / 1000:
        raise ValueError(f"duration must be between zero and one day: {text!r}")
    return seconds


def require_text(value: object) -> str:
    """Return the value if it is a non-empty string, or raise ValueError."""
    if not isinstance(value, str) or not value:
        raise ValueError(f"value must be a non-empty string: {show(value)}")
    return value


def require_header_text(value: object) -> str:
    """Return the value if it is text for an HTTP header, or raise ValueError."""
    text = require_text(value)
    if not text.isprintable() or max(text) > MAX_HEADER_CHARACTER:
        raise ValueError(f"value must be text for a header: {show(value)}")
    return text


def require_count(
    value: object, *, min_count: int = 0, max_count: int = MAX_COUNT
) -> int:
    """Return the value if it is an integer within the bounds, or raise ValueError."""
    if type(value) is not int or not min_count <= value <= max_count:
        raise ValueError(
            f"value must be an integer from {min_count} to {max_count}: {show(value)}"
        )
    return value


def require_rate(value: object) -> float:
    """Return the value if it is a finite number of at least 0, or raise ValueError."""
    if type(value) not in (int, float) or not 0 <= value <= MAX_COUNT:
        raise ValueError(f"value must be a non-negative number: {show(value)}")
    return float(value)


def parse_ip_endpoint(text: object) -> tuple[str, int]:
    """Return the address and the port in ``address:port``.

    Raises
    ------
    ValueError
        If the address is no IP address of one host, or the port is not written in
        decimal digits or out of range.

    Examples
    --------
    >>> parse_ip_endpoint("10.0.0.9:8080")
    ('10.0.0.9', 8080)
    """
    address, _, port = require_text(text).rpartition(":")
    parsed = ip_address(address)
    if parsed.is_unspecified or parsed.is_multicast:
        raise ValueError(f"address must be one of a host: {show(text)}")
    if not (port.isascii() and port.isdigit() and len(port) <= len(str(MAX_PORT))):
        raise ValueError(f"port must be a decimal number: {show(text)}")
    return address, require_count(int(port), min_count=1, max_count=MAX_PORT)


def show(value: object) -> str:
    """Return the start of a value's representation, for errors."""
    return repr(value)[:MAX_SHOWN_CHARS]
