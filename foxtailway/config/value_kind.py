"""Parsers of the kinds of values in configuration files."""

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

# Characters of a text that a finding quotes; the rest is replaced by an ellipsis.
MAX_QUOTED_CHARS = 40
HTTP_METHODS = ("DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT")
NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")
PATH_PATTERN = re.compile(r"/[A-Za-z0-9._~/-]{0,255}")
NUMBER_PATTERN = re.compile(r"([0-9]{1,15}(?:\.[0-9]{1,9})?)\s?([A-Za-z]*)")


def quote(text: str) -> str:
    """Return a quoted form of `text` for findings: one line of ASCII, truncated."""
    if len(text) > MAX_QUOTED_CHARS:
        text = text[:MAX_QUOTED_CHARS] + "..."
    return ascii(text)


class ValueKind(ABC):
    """Base class of the parsers of one kind of value.

    Attributes
    ----------
    allowed : str
        Description of the accepted texts, for findings and documentation.
    """

    allowed: str

    @abstractmethod
    def parse(self, text: str) -> Result[Any, Defect]:
        """Return the parsed value of `text`, or the defect that makes it invalid."""

    def make_error(self, problem: str) -> Result[Any, Defect]:
        """Return an error with `problem` and the accepted texts of this kind."""
        return Error(Defect(problem=problem, allowed=self.allowed))


@dataclass(frozen=True, slots=True, kw_only=True)
class NameKind(ValueKind):
    """Name of a mesh, region, site, host, service, route or secret.

    Parameters
    ----------
    is_quotable : bool, default=True
        Whether a finding may quote an invalid text. False for keys where the value
        of a secret may be entered by mistake.
    """

    is_quotable: bool = True

    @property
    def allowed(self) -> str:
        """Return the description of the accepted names."""
        return "1 to 63 characters of a-z, 0-9, '.', '_' and '-'"

    def parse(self, text: str) -> Result[str, Defect]:
        """Return the name."""
        if NAME_PATTERN.fullmatch(text):
            return Ok(text)
        subject = quote(text) if self.is_quotable else "the value"
        return self.make_error(f"{subject} is not a name")


@dataclass(frozen=True, slots=True, kw_only=True)
class PathKind(ValueKind):
    """Prefix of a request path."""

    @property
    def allowed(self) -> str:
        """Return the description of accepted paths."""
        return "'/' and up to 255 characters of a-z, A-Z, 0-9 and '._~/-'"

    def parse(self, text: str) -> Result[str, Defect]:
        """Return the path prefix."""
        if PATH_PATTERN.fullmatch(text):
            return Ok(text)
        return self.make_error(f"{quote(text)} is not a path")


@dataclass(frozen=True, slots=True, kw_only=True)
class MethodsKind(ValueKind):
    """HTTP methods separated by spaces."""

    @property
    def allowed(self) -> str:
        """Return the description of accepted methods."""
        return f"distinct methods among {', '.join(HTTP_METHODS)}, separated by spaces"

    def parse(self, text: str) -> Result[frozenset[str], Defect]:
        """Return the methods."""
        words = text.split()
        if not words:
            return self.make_error("no method is given")
        for index, word in enumerate(words):
            if word not in HTTP_METHODS:
                return self.make_error(f"{quote(word)} is not a method")
            if word in words[:index]:
                return self.make_error(f"{word} is given twice")
        return Ok(frozenset(words))


@dataclass(frozen=True, slots=True, kw_only=True)
class BooleanKind(ValueKind):
    """Boolean, written as ``yes`` or ``no``."""

    @property
    def allowed(self) -> str:
        """Return the accepted words."""
        return "yes or no"

    def parse(self, text: str) -> Result[bool, Defect]:
        """Return True for ``yes`` and False for ``no``."""
        if text in ("yes", "no"):
            return Ok(text == "yes")
        return self.make_error(f"{quote(text)} is neither yes nor no")


class NumberKind(ValueKind):
    """Number without a unit, within bounds.

    Parameters
    ----------
    lowest, highest : str
        Inclusive bounds, written as in a configuration file.
    is_integer : bool, default=True
        Whether the number must be an integer.
    """

    def __init__(self, *, lowest: str, highest: str, is_integer: bool = True) -> None:
        noun = "a whole number" if is_integer else "a number"
        self.allowed = f"{noun} from {lowest} to {highest}"
        self.is_integer = is_integer
        self.minimum = self.parse_number(lowest).ok
        self.maximum = self.parse_number(highest).ok

    def parse(self, text: str) -> Result[int | float, Defect]:
        """Return the number if it is within the bounds."""
        parsed = self.parse_number(text)
        if parsed.is_error():
            return parsed
        if parsed.ok < self.minimum:
            return self.make_error(f"{text} is too small")
        if parsed.ok > self.maximum:
            return self.make_error(f"{text} is too large")
        return parsed

    def parse_number(self, text: str) -> Result[int | float, Defect]:
        """Return the number without checking the bounds."""
        match = NUMBER_PATTERN.fullmatch(text)
        if match is None or match[2]:
            return self.make_error(f"{quote(text)} is not a number")
        if not self.is_integer:
            return Ok(float(match[1]))
        if "." in match[1]:
            return self.make_error(f"{text} is a fraction")
        return Ok(int(match[1]))


class UnitKind(NumberKind):
    """Number with a unit, within bounds.

    Parameters
    ----------
    lowest, highest : str
        Inclusive bounds, written as in a configuration file.
    units : Mapping of str to Decimal
        Factor of each unit, relative to the unit of the parsed value.
    is_integer : bool, default=True
        Whether the parsed value must be an integer.
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

    def parse_number(self, text: str) -> Result[int | float, Defect]:
        """Return the number in the unit of the parsed value, unchecked for bounds."""
        match = NUMBER_PATTERN.fullmatch(text)
        if match is None:
            return self.make_error(f"{quote(text)} is not a number with a unit")
        if not match[2]:
            return self.make_error(f"{text} has no unit")
        unit = self.units.get(match[2])
        if unit is None:
            return self.make_error(f"{quote(match[2])} is not a unit")
        product = Decimal(match[1]) * unit
        if not self.is_integer:
            return Ok(float(product))
        if product != int(product):
            return self.make_error(f"{text} is not a whole number of bytes")
        return Ok(int(product))
