"""Typed answers of the admin ports of nodes."""

import re
from dataclasses import dataclass
from typing import Any

__all__ = [
    "AuditReport",
    "AuditReportEntry",
    "NodeReport",
    "RejectionReport",
    "ReportedVersion",
    "parse_audit_report",
    "parse_node_report",
    "parse_version",
]

MAX_TIME_S = 253_402_300_799.0
VERSION_PATTERN = re.compile(r"([0-9]{1,18})\.([0-9]{1,18})(?:-([0-9a-f]{8}))?")


@dataclass(frozen=True, slots=True, kw_only=True)
class ReportedVersion:
    """Name a version as nodes print it.

    Parameters
    ----------
    generation, revision : int
        Numbers by which versions are ordered.
    digest : str
        First eight hexadecimal digits of the digest; empty when not given.
    """

    generation: int
    revision: int
    digest: str

    def __str__(self) -> str:
        """Return the version as nodes print it."""
        suffix = f"-{self.digest}" if self.digest else ""
        return f"{self.generation}.{self.revision}{suffix}"

    @property
    def sort_key(self) -> tuple[int, int]:
        """Return the numbers by which versions are ordered."""
        return (self.generation, self.revision)

    def is_satisfied_by(self, held: "ReportedVersion | None") -> bool:
        """Tell whether a node that holds `held` has this version in force.

        A newer version includes what this one changed.
        """
        if held is None or held.sort_key < self.sort_key:
            return False
        if held.sort_key > self.sort_key:
            return True
        return not self.digest or self.digest == held.digest


@dataclass(frozen=True, slots=True, kw_only=True)
class RejectionReport:
    """Name a rejected version and why it was rejected."""

    version: ReportedVersion
    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class NodeReport:
    """Hold the state of a node; see `foxtailway.observe.NodeStatus`."""

    host_id: str
    zone: str
    region: str
    config_version: ReportedVersion | None
    hosts_version: ReportedVersion | None
    role: str
    parent: str | None
    n_children: int
    confirmed_age_s: float | None
    n_hops: int | None
    is_ready: bool
    is_stopping: bool
    last_rejection: RejectionReport | None
    withdrawn_routes: tuple[str, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class AuditReportEntry:
    """Hold one entry of an audit trail; see `foxtailway.observe.AuditEntry`."""

    sequence: int
    time_s: float
    action: str
    kind: str
    version: str
    delivered_by: str
    changed_keys: tuple[str, ...]
    changed_routes: tuple[str, ...]
    reason: str
    n_times: int


@dataclass(frozen=True, slots=True, kw_only=True)
class AuditReport:
    """Hold the kept entries of an audit trail."""

    n_recorded: int
    entries: tuple[AuditReportEntry, ...]


def parse_version(text: str) -> ReportedVersion | None:
    """Return the version written as ``GENERATION.REVISION[-DIGEST]``.

    Examples
    --------
    >>> parse_version("1.7").sort_key
    (1, 7)
    """
    match = VERSION_PATTERN.fullmatch(text)
    if match is None:
        return None
    return ReportedVersion(
        generation=int(match[1]), revision=int(match[2]), digest=match[3] or ""
    )


def parse_node_report(answer: Any) -> NodeReport | None:
    """Return the state told by ``/status``; None for another answer."""
    try:
        return NodeReport(
            host_id=str(answer["host_id"]),
            zone=str(answer["zone"]),
            region=str(answer["region"]),
            config_version=parse_optional_version(answer["config_version"]),
            hosts_version=parse_optional_version(answer["hosts_version"]),
            role=str(answer["role"]),
            parent=parse_optional_text(answer["parent"]),
            n_children=int(answer["n_children"]),
            confirmed_age_s=parse_optional_number(answer["confirmed_age_s"]),
            n_hops=parse_optional_number(answer["n_hops"]),
            is_ready=answer["is_ready"] is True,
            is_stopping=answer["is_stopping"] is True,
            last_rejection=parse_rejection(answer["last_rejection"]),
            withdrawn_routes=tuple(map(str, answer["withdrawn_routes"])),
        )
    except (KeyError, TypeError, ValueError, OverflowError):
        return None


def parse_optional_text(value: Any) -> str | None:
    """Return a text, None for none."""
    return None if value is None else str(value)


def parse_optional_number(value: Any) -> float | None:
    """Return a number, None for none; raise ValueError for other values."""
    if value is None or type(value) in (int, float):
        return value
    raise ValueError(value)


def parse_time(value: Any) -> float:
    """Return a time that a calendar can show; raise ValueError for others."""
    time_s = float(value)
    if not 0 <= time_s <= MAX_TIME_S:
        raise ValueError(value)
    return time_s


def parse_optional_version(text: Any) -> ReportedVersion | None:
    """Return a version, None for none; raise ValueError for other text."""
    if text is None:
        return None
    version = parse_version(str(text))
    if version is None:
        raise ValueError(text)
    return version


def parse_rejection(answer: Any) -> RejectionReport | None:
    """Return a rejection, None for none."""
    if answer is None:
        return None
    version = parse_optional_version(str(answer["version"]))
    return RejectionReport(version=version, reason=str(answer["reason"]))


def parse_audit_report(answer: Any) -> AuditReport | None:
    """Return the trail told by ``/audit``; None for another answer."""
    try:
        return AuditReport(
            n_recorded=int(answer["n_recorded"]),
            entries=tuple(map(parse_audit_entry, answer["entries"])),
        )
    except (KeyError, TypeError, ValueError, OverflowError):
        return None


def parse_audit_entry(answer: Any) -> AuditReportEntry:
    """Return one entry; raise for a malformed one."""
    return AuditReportEntry(
        sequence=int(answer["sequence"]),
        time_s=parse_time(answer["time_s"]),
        action=str(answer["action"]),
        kind=str(answer["kind"] or ""),
        version=str(answer["version"] or ""),
        delivered_by=str(answer["delivered_by"]),
        changed_keys=tuple(map(str, answer["changed_keys"])),
        changed_routes=tuple(map(str, answer["changed_routes"])),
        reason=str(answer["reason"]),
        n_times=int(answer["n_times"]),
    )
