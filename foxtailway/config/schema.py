"""Schema of the base file: its sections and keys with kinds and defaults."""

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

# Section that lists the keys that overlays may change.
OVERLAYS_KIND = "overlays"
# Seconds per unit.
DURATION_UNITS = {
    "ms": Decimal("0.001"),
    "s": Decimal(1),
    "min": Decimal(60),
    "h": Decimal(3600),
}
# Bytes per unit.
SIZE_UNITS = {
    "B": Decimal(1),
    "KB": Decimal(1000),
    "MB": Decimal(1000000),
}


@dataclass(frozen=True, slots=True, kw_only=True)
class KeyRule:
    """Rule of one key.

    Parameters
    ----------
    kind : ValueKind
        Parser of the value.
    default : str or None, default=None
        Text of the value of an absent key; None if there is no default.
    is_required : bool, default=False
        Whether the key must be present.
    is_overlayable : bool, default=False
        Whether the base file may allow overlays to change the key.
    """

    kind: ValueKind
    default: str | None = None
    is_required: bool = False
    is_overlayable: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class SectionRule:
    """Rule of one kind of section.

    Parameters
    ----------
    is_named : bool
        Whether the header has a name after the kind.
    keys : Mapping of str to KeyRule
        Rules by key.
    """

    is_named: bool
    keys: Mapping[str, KeyRule]


def make_number_rule(default: str, lowest: str, highest: str) -> KeyRule:
    """Return the rule of an integer that overlays may change."""
    kind = NumberKind(lowest=lowest, highest=highest)
    return KeyRule(kind=kind, default=default, is_overlayable=True)


def make_ratio_rule(default: str) -> KeyRule:
    """Return the rule of a ratio from 0 to 1 that overlays may change."""
    kind = NumberKind(lowest="0", highest="1", is_integer=False)
    return KeyRule(kind=kind, default=default, is_overlayable=True)


def make_duration_rule(default: str, lowest: str, highest: str) -> KeyRule:
    """Return the rule of a duration, parsed to seconds, that overlays may change."""
    kind = UnitKind(
        lowest=lowest, highest=highest, is_integer=False, units=DURATION_UNITS
    )
    return KeyRule(kind=kind, default=default, is_overlayable=True)


def make_size_rule(default: str, lowest: str, highest: str) -> KeyRule:
    """Return the rule of a size, parsed to bytes, that overlays may change."""
    kind = UnitKind(lowest=lowest, highest=highest, units=SIZE_UNITS)
    return KeyRule(kind=kind, default=default, is_overlayable=True)


def make_required_rule(kind: ValueKind) -> KeyRule:
    """Return the rule of a required key that overlays cannot change."""
    return KeyRule(kind=kind, is_required=True)


MESH_RULE = SectionRule(
    is_named=False,
    keys={
        "name": make_required_rule(NameKind()),
        "generation": make_required_rule(NumberKind(lowest="0", highest="999999999")),
        "max_header_size": make_size_rule("64KB", "1KB", "1MB"),
        "max_body_size": make_size_rule("1MB", "1KB", "64MB"),
        "max_hops": make_number_rule("16", "1", "64"),
    },
)
SITE_RULE = SectionRule(is_named=True, keys={"region": make_required_rule(NameKind())})
SERVICE_RULE = SectionRule(
    is_named=True,
    keys={
        "slots": make_number_rule("10", "1", "10000"),
        "connections": make_number_rule("100", "1", "100000"),
        "queue": make_number_rule("20", "0", "100000"),
        "queue_timeout": make_duration_rule("100ms", "0ms", "30s"),
        "retry_ratio": make_ratio_rule("0.1"),
        "max_ejected_ratio": make_ratio_rule("0.3"),
        "slow_start": make_duration_rule("5s", "0s", "1h"),
        "crash_hosts": make_number_rule("2", "1", "100"),
        "quarantine": make_duration_rule("60s", "0s", "24h"),
        "secret": KeyRule(kind=NameKind(is_quotable=False)),
    },
)
ROUTE_RULE = SectionRule(
    is_named=True,
    keys={
        "path": make_required_rule(PathKind()),
        "methods": make_required_rule(MethodsKind()),
        "cluster": make_required_rule(NameKind()),
        "idempotent": make_required_rule(BooleanKind()),
        "timeout": make_duration_rule("2s", "1ms", "5min"),
        "retries": make_number_rule("1", "0", "5"),
        "priority": make_number_rule("1", "0", "9"),
        "idempotency_window": make_duration_rule("10min", "0s", "24h"),
    },
)
SECTION_RULES: Mapping[str, SectionRule] = {
    "mesh": MESH_RULE,
    "site": SITE_RULE,
    "service": SERVICE_RULE,
    "route": ROUTE_RULE,
}
