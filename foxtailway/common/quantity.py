"""Numbers with units, as written in settings and configurations."""

import re

__all__ = ["format_duration", "format_size", "parse_duration", "parse_size"]

NUMBER_PATTERN = re.compile(r"([0-9]{1,12}(?:\.[0-9]{1,9})?)\s*([A-Za-z]+)")
DURATION_UNITS_S = {"ms": 0.001, "s": 1.0, "min": 60.0, "h": 3600.0}
SIZE_UNITS_BYTES = {"B": 1, "KB": 1_000, "MB": 1_000_000}


def parse_duration(text: str) -> float | None:
    """Return a duration in seconds.

    Parameters
    ----------
    text : str
        Number followed by ``ms``, ``s``, ``min`` or ``h``.

    Returns
    -------
    float or None
        Duration in seconds; None when `text` is not a number with a unit.

    Examples
    --------
    >>> parse_duration("500ms")
    0.5
    >>> parse_duration("500") is None
    True
    """
    match = NUMBER_PATTERN.fullmatch(text)
    if match is None or match[2] not in DURATION_UNITS_S:
        return None
    if match[2] == "ms":
        return float(match[1]) / 1000.0
    return float(match[1]) * DURATION_UNITS_S[match[2]]


def parse_size(text: str) -> int | None:
    """Return a size in bytes.

    Parameters
    ----------
    text : str
        Number followed by ``B``, ``KB`` (1,000 bytes) or ``MB``.

    Returns
    -------
    int or None
        Size in bytes; None when `text` is not a whole number of bytes with a
        unit.

    Examples
    --------
    >>> parse_size("1.5KB")
    1500
    """
    match = NUMBER_PATTERN.fullmatch(text)
    if match is None or match[2] not in SIZE_UNITS_BYTES:
        return None
    size = float(match[1]) * SIZE_UNITS_BYTES[match[2]]
    return int(size) if size.is_integer() else None


def format_duration(duration_s: float) -> str:
    """Return a duration as text that `parse_duration` reads back.

    Examples
    --------
    >>> format_duration(0.2)
    '200ms'
    """
    if 0 < duration_s < 1:
        return f"{duration_s * 1000:.6g}ms"
    return f"{duration_s:.12g}s"


def format_size(size: int) -> str:
    """Return a size in bytes as text that `parse_size` reads back.

    Examples
    --------
    >>> format_size(2_000_000)
    '2MB'
    """
    for unit, factor in reversed(SIZE_UNITS_BYTES.items()):
        if size >= factor and size % factor == 0:
            return f"{size // factor}{unit}"
    return f"{size}B"
