"""Kinds of values in configuration files."""

import re
from abc import ABC, abstractmethod
from collections.abc import Mapping
from dataclasses import dataclass
from decimal import Decimal
from typing import Any

from expression import Error, Ok, Result

from foxtailway.config.finding import Defect

__all__ = [
    "BooleanKind",
    "MethodsKind",
    "NameKind",
    "NumberKind",
    "PathKind",
    "UnitKind",
    "ValueKind",
    "quote",
]

MAX_QUOTED_LENGTH = 40
HTTP_METHODS = ("DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT")
NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")
PATH_PATTERN = re.compile(r"/[A-Za-z0-9._~/-]{0,255}")
NUMBER_PATTERN = re.compile(r"([0-9]{1,15}(?:\.[0-9]{1,9})?)\s?([A-Za-z]*)")


def quote(text: str) -> str:
    """Return `text` quoted, as shortened ASCII on one line."""
    if len(text) > MAX_QUOTED_LENGTH:
        text = text[:MAX_QUOTED_LENGTH] + "..."
    return ascii(text)


class ValueKind(ABC):
    """Read the text of one value.

    Attributes
    ----------
    allowed : str
        Description of the accepted texts.
    """

    allowed: str

    @abstractmethod
    def parse(self, text: str) -> Result[Any, Defect]:
        """Return the typed value of `text`, or what is wrong with it."""

    def reject(self, problem: str) -> Result[Any, Defect]:
        """Return a defect of this kind."""
        return Error(Defect(problem=problem, allowed=self.allowed))


@dataclass(frozen=True, slots=True, kw_only=True)
class NameKind(ValueKind):
    """Accept the name of a mesh, region, service, route or secret.

    Parameters
    ----------
    is_quotable : bool, default=True
        False keeps a refused text out of the finding, for places where a
        secret may be written by mistake.
    """

    is_quotable: bool = True

    @property
    def allowed(self) -> str:
        """Return the description of accepted names."""
        return "1 to 63 characters of a-z, 0-9, '.', '_' and '-'"

    def parse(self, text: str) -> Result[str, Defect]:
        """Return the name."""
        if NAME_PATTERN.fullmatch(text):
            return Ok(text)
        subject = quote(text) if self.is_quotable else "the value"
        return self.reject(f"{subject} is not a name")


@dataclass(frozen=True, slots=True, kw_only=True)
class PathKind(ValueKind):
    """Accept the prefix of a request path."""

    @property
    def allowed(self) -> str:
        """Return the description of accepted paths."""
        return "'/' and up to 255 characters of a-z, A-Z, 0-9 and '._~/-'"

    def parse(self, text: str) -> Result[str, Defect]:
        """Return the path prefix."""
        if PATH_PATTERN.fullmatch(text):
            return Ok(text)
        return self.reject(f"{quote(text)} is not a path")


@dataclass(frozen=True, slots=True, kw_only=True)
class MethodsKind(ValueKind):
    """Accept HTTP methods separated by spaces."""

    @property
    def allowed(self) -> str:
        """Return the description of accepted methods."""
        return f"distinct methods of {', '.join(HTTP_METHODS)} between spaces"

    def parse(self, text: str) -> Result[frozenset[str], Defect]:
        """Return the set of methods."""
        words = text.split()
        if not words:
            return self.reject("no method is given")
        for index, word in enumerate(words):
            if word not in HTTP_METHODS:
                return self.reject(f"{quote(word)} is not a method")
            if word in words[:index]:
                return self.reject(f"{word} is given twice")
        return Ok(frozenset(words))


@dataclass(frozen=True, slots=True, kw_only=True)
class BooleanKind(ValueKind):
    """Accept ``yes`` or ``no``."""

    @property
    def allowed(self) -> str:
        """Return the accepted words."""
        return "yes or no"

    def parse(self, text: str) -> Result[bool, Defect]:
        """Return the truth value."""
        if text in ("yes", "no"):
            return Ok(text == "yes")
        return self.reject(f"{quote(text)} is neither yes nor no")


class NumberKind(ValueKind):
    """Accept a number between two bounds.

    Parameters
    ----------
    lowest, highest : str
        Bounds, written as in a configuration file.
    is_integer : bool, default=True
        Whether fractions are refused.
    """

    def __init__(self, *, lowest: str, highest: str, is_integer: bool = True) -> None:
        noun = "a whole number" if is_integer else "a number"
        self.allowed = f"{noun} from {lowest} to {highest}"
        self.is_integer = is_integer
        self.minimum = self.measure(lowest).ok
        self.maximum = self.measure(highest).ok

    def parse(self, text: str) -> Result[int | float, Defect]:
        """Return the number when it lies between the bounds."""
        measure = self.measure(text)
        if measure.is_error():
            return measure
        if measure.ok < self.minimum:
            return self.reject(f"{text} is too small")
        if measure.ok > self.maximum:
            return self.reject(f"{text} is too large")
        return measure

    def measure(self, text: str) -> Result[int | float, Defect]:
        """Return the number without a look at the bounds."""
        match = NUMBER_PATTERN.fullmatch(text)
        if match is None or match[2]:
            return self.reject(f"{quote(text)} is not a number")
        if not self.is_integer:
            return Ok(float(match[1]))
        if "." in match[1]:
            return self.reject(f"{text} is a fraction")
        return Ok(int(match[1]))


class UnitKind(NumberKind):
    """Accept a number with its unit between two bounds.

    Parameters
    ----------
    lowest, highest : str
        Bounds, written as in a configuration file.
    units : Mapping of str to Decimal
        Size of each unit in the unit of the typed value.
    is_integer : bool, default=True
        Whether the typed value must be whole.
    """

    def __init__(
        self,
        *,
        lowest: str,
        highest: str,
        units: Mapping[str, Decimal],
        is_integer: bool = True,
    ) -> None:
        self.units = units
        super().__init__(lowest=lowest, highest=highest, is_integer=is_integer)
        self.allowed = f"{lowest} to {highest}, in {', '.join(units)}"

    def measure(self, text: str) -> Result[int | float, Defect]:
        """Return the number in the unit of the typed value."""
        match = NUMBER_PATTERN.fullmatch(text)
        if match is None:
            return self.reject(f"{quote(text)} is not a number with a unit")
        if not match[2]:
            return self.reject(f"{text} has no unit")
        unit = self.units.get(match[2])
        if unit is None:
            return self.reject(f"{quote(match[2])} is not a unit")
        product = Decimal(match[1]) * unit
        if not self.is_integer:
            return Ok(float(product))
        if product != int(product):
            return self.reject(f"{text} is not a whole number of bytes")
        return Ok(int(product))
