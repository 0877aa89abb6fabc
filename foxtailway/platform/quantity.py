"""Durations and versions as the platform writes them."""

from math import isfinite

__all__ = ["parse_duration", "parse_version"]

VERSION_TAG = "r"


def parse_duration(text: object) -> float:
    """Return a duration in seconds, or raise ValueError.

    Examples
    --------
    >>> parse_duration("1500ms")
    1.5
    >>> parse_duration("2.5s")
    2.5
    """
    if not isinstance(text, str):
        raise ValueError(f"not a duration: {text!r}")
    if text.endswith("ms"):
        seconds = float(text[:-2]) / 1000
    elif text.endswith("s"):
        seconds = float(text[:-1])
    else:
        raise ValueError(f"duration without unit: {text!r}")
    if not isfinite(seconds) or seconds < 0:
        raise ValueError(f"duration out of range: {text!r}")
    return seconds


def parse_version(text: object) -> int:
    """Return the number of a configuration version, or raise ValueError.

    Examples
    --------
    >>> parse_version("r12")
    12
    """
    if not isinstance(text, str) or not text.startswith(VERSION_TAG):
        raise ValueError(f"not a version: {text!r}")
    return int(text[len(VERSION_TAG) :])
