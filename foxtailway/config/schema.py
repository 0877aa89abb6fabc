"""Sections and keys of the base file, with their kinds and defaults."""

from collections.abc import Mapping
from dataclasses import dataclass
from decimal import Decimal

from foxtailway.config.value_kind import (
    BooleanKind,
    MethodsKind,
    NameKind,
    NumberKind,
    PathKind,
    UnitKind,
    ValueKind,
)

__all__ = ["OVERLAYS_KIND", "SECTION_RULES", "KeyRule", "SectionRule"]

OVERLAYS_KIND = "overlays"
DURATION_UNITS = {
    "ms": Decimal("0.001"),
    "s": Decimal(1),
    "min": Decimal(60),
    "h": Decimal(3600),
}
SIZE_UNITS = {
    "B": Decimal(1),
    "KB": Decimal(1000),
    "MB": Decimal(1000000),
}


@dataclass(frozen=True, slots=True, kw_only=True)
class KeyRule:
    """Describe one key.

    Parameters
    ----------
    kind : ValueKind
        Accepted texts.
    default : str or None, default=None
        Text that stands for an absent key.
    is_required : bool, default=False
        Whether an absent key is a finding.
    is_overlayable : bool, default=False
        Whether the base file may allow overlays to change the key.
    """

    kind: ValueKind
    default: str | None = None
    is_required: bool = False
    is_overlayable: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class SectionRule:
    """Describe one kind of section.

    Parameters
    ----------
    is_named : bool
        Whether the header carries a name after the kind.
    keys : Mapping of str to KeyRule
        Keys of the section.
    """

    is_named: bool
    keys: Mapping[str, KeyRule]


def number(default: str, lowest: str, highest: str) -> KeyRule:
    """Describe a whole number that overlays may change."""
    kind = NumberKind(lowest=lowest, highest=highest)
    return KeyRule(kind=kind, default=default, is_overlayable=True)


def ratio(default: str) -> KeyRule:
    """Describe a share between 0 and 1 that overlays may change."""
    kind = NumberKind(lowest="0", highest="1", is_integer=False)
    return KeyRule(kind=kind, default=default, is_overlayable=True)


def duration(default: str, lowest: str, highest: str) -> KeyRule:
    """Describe a duration that overlays may change."""
    kind = UnitKind(
        lowest=lowest, highest=highest, is_integer=False, units=DURATION_UNITS
    )
    return KeyRule(kind=kind, default=default, is_overlayable=True)


def size(default: str, lowest: str, highest: str) -> KeyRule:
    """Describe a size in bytes that overlays may change."""
    kind = UnitKind(lowest=lowest, highest=highest, units=SIZE_UNITS)
    return KeyRule(kind=kind, default=default, is_overlayable=True)


def required(kind: ValueKind) -> KeyRule:
    """Describe a key that must be given and that overlays never change."""
    return KeyRule(kind=kind, is_required=True)


MESH_RULE = SectionRule(
    is_named=False,
    keys={
        "name": required(NameKind()),
        "generation": required(NumberKind(lowest="0", highest="999999999")),
        "max_header_size": size("64KB", "1KB", "1MB"),
        "max_body_size": size("1MB", "1KB", "64MB"),
        "max_hops": number("16", "1", "64"),
    },
)
SITE_RULE = SectionRule(is_named=True, keys={"region": required(NameKind())})
SERVICE_RULE = SectionRule(
    is_named=True,
    keys={
        "slots": number("10", "1", "10000"),
        "connections": number("100", "1", "100000"),
        "queue": number("20", "0", "100000"),
        "queue_timeout": duration("100ms", "0ms", "30s"),
        "retry_ratio": ratio("0.1"),
        "max_ejected_ratio": ratio("0.3"),
        "slow_start": duration("5s", "0s", "1h"),
        "crash_hosts": number("2", "1", "100"),
        "quarantine": duration("60s", "0s", "24h"),
        "secret": KeyRule(kind=NameKind(is_quotable=False)),
    },
)
ROUTE_RULE = SectionRule(
    is_named=True,
    keys={
        "path": required(PathKind()),
        "methods": required(MethodsKind()),
        "cluster": required(NameKind()),
        "idempotent": required(BooleanKind()),
        "timeout": duration("2s", "1ms", "5min"),
        "retries": number("1", "0", "5"),
        "priority": number("1", "0", "9"),
        "idempotency_window": duration("10min", "0s", "24h"),
    },
)
SECTION_RULES: Mapping[str, SectionRule] = {
    "mesh": MESH_RULE,
    "site": SITE_RULE,
    "service": SERVICE_RULE,
    "route": ROUTE_RULE,
}
