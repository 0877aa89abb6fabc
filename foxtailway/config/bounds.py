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
    """Limit one key of all overlays.

    Parameters
    ----------
    lowest, highest : float
        Smallest and largest value, in the key's smallest unit.
    text : str
        The bounds as written in the base file.
    """

    lowest: float
    highest: float
    text: str

    def contain(self, value: float) -> bool:
        """Return whether `value` lies within the bounds."""
        return self.lowest <= value <= self.highest


@cache
def list_overlayable_keys() -> dict[str, KeyRule]:
    """Return the keys that overlays can change at all, as ``kind.key``."""
    return {
        f"{kind}.{key}": key_rule
        for kind, section_rule in SECTION_RULES.items()
        for key, key_rule in section_rule.keys.items()
        if key_rule.is_overlayable
    }


def read_bounds(*, key: str, text: str) -> Result[Bounds, Defect]:
    """Read one line of the section ``overlays``.

    Parameters
    ----------
    key : str
        Key of the form ``kind.key``, for example ``route.timeout``.
    text : str
        Two values with ``..`` between them.

    Returns
    -------
    Result
        Bounds, or what is wrong with them.

    Examples
    --------
    >>> read_bounds(key="route.timeout", text="100ms .. 5s").ok.highest
    5.0
    """
    rule = list_overlayable_keys().get(key)
    if rule is None:
        allowed = ", ".join(list_overlayable_keys())
        problem = "no key that overlays could change"
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
