"""Parsing and validation of durations, names and counts of the platform."""

__all__ = ["parse_milliseconds", "parse_seconds", "require_count", "require_text"]

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
        raise ValueError(f"value must be a non-empty string: {value!r}")
    return value


def require_count(value: object) -> int:
    """Return the value if it is a non-negative integer, or raise ValueError."""
    if type(value) is not int or value < 0:
        raise ValueError(f"value must be a non-negative integer: {value!r}")
    return value
