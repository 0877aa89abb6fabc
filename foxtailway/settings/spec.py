"""Data classes that specify sections and keys of the settings file."""

from dataclasses import dataclass

from foxtailway.config.schema import DURATION_UNITS, SIZE_UNITS
from foxtailway.config.value_kind import NumberKind, UnitKind, ValueKind

__all__ = [
    "KeySpec",
    "SectionSpec",
    "define_duration",
    "define_key",
    "define_number",
    "define_size",
]

# Unit in the documentation of a key whose value has no unit.
NO_UNIT = "none"


@dataclass(frozen=True, slots=True, kw_only=True)
class KeySpec:
    """Specification of one key.

    Parameters
    ----------
    key : str
        Name of the key in the file.
    field : str
        Field of the section's data class that holds the value.
    kind : ValueKind
        Parser of the value.
    unit : str
        Accepted units, for the documentation.
    default : str or None
        Text of the value of an absent key; None for a required key.
    summary : str
        Description in the documentation, one line.
    """

    key: str
    field: str
    kind: ValueKind
    unit: str
    default: str | None
    summary: str


@dataclass(frozen=True, slots=True, kw_only=True)
class SectionSpec:
    """Specification of one section and its data class.

    Parameters
    ----------
    name : str
        Header of the section.
    summary : str
        Description in the documentation, one line.
    model : type or None
        Data class of the section; None if the keys are fields of `NodeSettings`.
    keys : tuple of KeySpec
        Keys of the section.
    """

    name: str
    summary: str
    model: type | None
    keys: tuple[KeySpec, ...]


def define_key(
    key: str,
    kind: ValueKind,
    default: str | None,
    summary: str,
    *,
    field: str | None = None,
    unit: str = NO_UNIT,
) -> KeySpec:
    """Return the specification of a key; its field has the same name by default."""
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
    """Return the specification of a duration, whose field is ``<key>_s``."""
    kind = UnitKind(
        lowest=lowest, highest=highest, units=DURATION_UNITS, is_integer=False
    )
    unit = ", ".join(DURATION_UNITS)
    return define_key(key, kind, default, summary, field=f"{key}_s", unit=unit)


def define_size(
    key: str, default: str, lowest: str, highest: str, summary: str
) -> KeySpec:
    """Return the specification of a size, parsed to bytes."""
    kind = UnitKind(lowest=lowest, highest=highest, units=SIZE_UNITS)
    return define_key(key, kind, default, summary, unit=", ".join(SIZE_UNITS))


def define_number(
    key: str,
    default: str,
    lowest: str,
    highest: str,
    summary: str,
    unit: str = NO_UNIT,
) -> KeySpec:
    """Return the specification of an integer."""
    kind = NumberKind(lowest=lowest, highest=highest)
    return define_key(key, kind, default, summary, unit=unit)
