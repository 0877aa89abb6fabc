"""Descriptions of sections and keys."""

from dataclasses import dataclass

from foxtailway.config.schema import DURATION_UNITS, SIZE_UNITS
from foxtailway.config.value_kind import NumberKind, UnitKind, ValueKind

__all__ = [
    "KeySpec",
    "SectionSpec",
    "define",
    "define_duration",
    "define_number",
    "define_size",
]

NO_UNIT = "none"


@dataclass(frozen=True, slots=True, kw_only=True)
class KeySpec:
    """Describe one key.

    Parameters
    ----------
    key : str
        Name in the file.
    field : str
        Field of the section's data class.
    kind : ValueKind
        Accepted texts.
    unit : str
        Unit of the value, for the documentation.
    default : str or None
        Text taken when the key is missing; None for a required key.
    summary : str
        One line for the documentation.
    """

    key: str
    field: str
    kind: ValueKind
    unit: str
    default: str | None
    summary: str


@dataclass(frozen=True, slots=True, kw_only=True)
class SectionSpec:
    """Describe one section and the data class that it fills.

    Parameters
    ----------
    name : str
        Header of the section.
    summary : str
        One line for the documentation.
    model : type or None
        Data class of the section; None for fields of the whole settings.
    keys : tuple of KeySpec
        Keys of the section.
    """

    name: str
    summary: str
    model: type | None
    keys: tuple[KeySpec, ...]


def define(
    key: str,
    kind: ValueKind,
    default: str | None,
    summary: str,
    *,
    field: str | None = None,
    unit: str = NO_UNIT,
) -> KeySpec:
    """Return a key whose field has the same name unless given."""
    return KeySpec(
        key=key,
        field=field or key,
        kind=kind,
        unit=unit,
        default=default,
        summary=summary,
    )


def define_duration(
    key: str, default: str, lowest: str, highest: str, summary: str
) -> KeySpec:
    """Return a duration, whose field carries the unit in its name."""
    kind = UnitKind(
        lowest=lowest, highest=highest, units=DURATION_UNITS, is_integer=False
    )
    unit = ", ".join(DURATION_UNITS)
    return define(key, kind, default, summary, field=f"{key}_s", unit=unit)


def define_size(
    key: str, default: str, lowest: str, highest: str, summary: str
) -> KeySpec:
    """Return a size in bytes."""
    kind = UnitKind(lowest=lowest, highest=highest, units=SIZE_UNITS)
    return define(key, kind, default, summary, unit=", ".join(SIZE_UNITS))


def define_number(
    key: str,
    default: str,
    lowest: str,
    highest: str,
    summary: str,
    unit: str = NO_UNIT,
) -> KeySpec:
    """Return a whole number."""
    kind = NumberKind(lowest=lowest, highest=highest)
    return define(key, kind, default, summary, unit=unit)
