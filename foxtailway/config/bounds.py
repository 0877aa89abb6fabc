"""Bounds within which overlays may change a key."""

from dataclasses import dataclass
from functools import cache

from expression import Error, Ok, Result

from foxtailway.config.finding import Defect
from foxtailway.config.schema import SECTION_RULES, KeyRule

__all__ = ["Bounds", "read_bounds"]

SEPARATOR = ".."


@dataclass(frozen=True, slots=True, kw_only=True)
class Bounds:
    """Inclusive bounds of the values that overlays may give to a key.

    Parameters
    ----------
    lowest, highest : float
        Smallest and largest value, in the unit of the parsed value of the key.
    text : str
        Bounds as written in the base file.
    """

    lowest: float
    highest: float
    text: str

    def contains(self, value: float) -> bool:
        """Return whether `value` is within the bounds."""
        return self.lowest <= value <= self.highest


@cache
def list_overlayable_keys() -> dict[str, KeyRule]:
    """Return the rules of the keys that a base file can open to overlays.

    The keys of the result have the form ``kind.key``.
    """
    return {
        f"{kind}.{key}": key_rule
        for kind, section_rule in SECTION_RULES.items()
        for key, key_rule in section_rule.keys.items()
        if key_rule.is_overlayable
    }


def read_bounds(*, key: str, text: str) -> Result[Bounds, Defect]:
    """Parse one entry of the section ``overlays``.

    Parameters
    ----------
    key : str
        Key of the form ``kind.key``, for example ``route.timeout``.
    text : str
        Smallest and largest value, separated by ``..``.

    Returns
    -------
    Result
        Bounds, or the defect of the entry.

    Examples
    --------
    >>> read_bounds(key="route.timeout", text="100ms .. 5s").ok.highest
    5.0
    """
    rule = list_overlayable_keys().get(key)
    if rule is None:
        allowed = ", ".join(list_overlayable_keys())
        problem = "overlays cannot change this key"
        return Error(Defect(problem=problem, allowed=allowed))
    first, separator, last = text.partition(SEPARATOR)
    if not separator:
        allowed = f"LOWEST .. HIGHEST within {rule.kind.allowed}"
        return Error(Defect(problem="the bounds need two values", allowed=allowed))
    lowest = rule.kind.parse(first.strip())
    if lowest.is_error():
        return lowest
    highest = rule.kind.parse(last.strip())
    if highest.is_error():
        return highest
    if lowest.ok > highest.ok:
        allowed = "the smaller value first"
        return Error(Defect(problem="the bounds are reversed", allowed=allowed))
    return Ok(Bounds(lowest=lowest.ok, highest=highest.ok, text=text))
