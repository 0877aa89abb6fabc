"""Durations and versions as the platform writes them."""

__all__ = ["parse_milliseconds", "parse_seconds", "require_count", "require_text"]

# Longest duration that is believed, in milliseconds: a day.
MAX_DURATION_MS = 86_400_000


def parse_milliseconds(value: object) -> float:
    """Return a whole number of milliseconds in seconds, or raise ValueError.

    Examples
    --------
    >>> parse_milliseconds(1500)
    1.5
    """
    if require_count(value) > MAX_DURATION_MS:
        raise ValueError(f"duration out of range: {value!r}")
    return value / 1000


def parse_seconds(text: str) -> float:
    """Return a number of seconds, or raise ValueError.

    Examples
    --------
    >>> parse_seconds("2.5")
    2.5
    """
    seconds = float(text)
    if not 0 <= seconds <= MAX_DURATION_MS / 1000:
        raise ValueError(f"duration out of range: {text!r}")
    return seconds


def require_text(value: object) -> str:
    """Return a non-empty text, or raise ValueError."""
    if not isinstance(value, str) or not value:
        raise ValueError(f"not a name: {value!r}")
    return value


def require_count(value: object) -> int:
    """Return a whole number that is not negative, or raise ValueError."""
    if type(value) is not int or value < 0:
        raise ValueError(f"not a count: {value!r}")
    return value
