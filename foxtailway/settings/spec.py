"""Descriptions of sections and keys."""

from dataclasses import dataclass

from foxtailway.settings.values import DurationValue, SettingValue

__all__ = ["KeySpec", "SectionSpec", "define", "define_duration"]


@dataclass(frozen=True, slots=True, kw_only=True)
class KeySpec:
    """Describe one key.

    Parameters
    ----------
    key : str
        Name in the file.
    field : str
        Field of the section's data class.
    value : SettingValue
        Check of the value.
    default : str or None
        Text taken when the key is missing; None for a required key.
    summary : str
        One line for the documentation.
    """

    key: str
    field: str
    value: SettingValue
    default: str | None
    summary: str


@dataclass(frozen=True, slots=True, kw_only=True)
class SectionSpec:
    """Describe one section and the data class that it fills."""

    name: str
    summary: str
    model: type | None
    keys: tuple[KeySpec, ...]


def define(
    key: str,
    value: SettingValue,
    default: str | None,
    summary: str,
    field: str | None = None,
) -> KeySpec:
    """Return a key whose field has the same name unless given."""
    return KeySpec(
        key=key, field=field or key, value=value, default=default, summary=summary
    )


def define_duration(
    key: str, value: DurationValue, default: str, summary: str
) -> KeySpec:
    """Return a key whose field carries the unit in its name."""
    return define(key, value, default, summary, field=f"{key}_s")
