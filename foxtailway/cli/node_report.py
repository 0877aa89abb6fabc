"""Parsed responses of the admin ports of nodes."""

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

# End of the year 9999, the last second that datetime can represent.
MAX_TIME_S = 253_402_300_799.0
VERSION_PATTERN = re.compile(r"([0-9]{1,18})\.([0-9]{1,18})(?:-([0-9a-f]{8}))?")


@dataclass(frozen=True, slots=True, kw_only=True)
class ReportedVersion:
    """Version as nodes report it, with a shortened digest.

    Parameters
    ----------
    generation, revision : int
        Numbers by which versions are ordered.
    digest : str
        First eight hexadecimal digits of the digest; empty if unknown.
    """

    generation: int
    revision: int
    digest: str

    def __str__(self) -> str:
        """Return the version as ``GENERATION.REVISION[-DIGEST]``."""
        suffix = f"-{self.digest}" if self.digest else ""
        return f"{self.generation}.{self.revision}{suffix}"

    @property
    def sort_key(self) -> tuple[int, int]:
        """Return generation and revision, by which versions are ordered."""
        return (self.generation, self.revision)

    def is_satisfied_by(self, applied: "ReportedVersion | None") -> bool:
        """Return whether this version or a newer one is in force.

        A newer version includes the changes of this one. With an equal sort
        key, the digests must match if this version has one.

        Parameters
        ----------
        applied : ReportedVersion or None
            Version in force on the node; None before the first one.
        """
        if applied is None or applied.sort_key < self.sort_key:
            return False
        if applied.sort_key > self.sort_key:
            return True
        return not self.digest or self.digest == applied.digest


@dataclass(frozen=True, slots=True, kw_only=True)
class RejectionReport:
    """Rejected version with the reason."""

    version: ReportedVersion
    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class NodeReport:
    """Status of a node; see `foxtailway.observe.NodeStatus`."""

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
    """Entry of an audit trail; see `foxtailway.observe.AuditEntry`."""

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
    """Stored entries of an audit trail and the number of recorded ones."""

    n_recorded: int
    entries: tuple[AuditReportEntry, ...]


def parse_version(text: str) -> ReportedVersion | None:
    """Return the version written as ``GENERATION.REVISION[-DIGEST]``, or None.

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


def parse_node_report(response: Any) -> NodeReport | None:
    """Return the status in a ``/status`` response; None if it is malformed."""
    try:
        return NodeReport(
            host_id=str(response["host_id"]),
            zone=str(response["zone"]),
            region=str(response["region"]),
            config_version=parse_optional_version(response["config_version"]),
            hosts_version=parse_optional_version(response["hosts_version"]),
            role=str(response["role"]),
            parent=parse_optional_text(response["parent"]),
            n_children=int(response["n_children"]),
            confirmed_age_s=parse_optional_number(response["confirmed_age_s"]),
            n_hops=parse_optional_number(response["n_hops"]),
            is_ready=response["is_ready"] is True,
            is_stopping=response["is_stopping"] is True,
            last_rejection=parse_rejection(response["last_rejection"]),
            withdrawn_routes=tuple(map(str, response["withdrawn_routes"])),
        )
    except (KeyError, TypeError, ValueError, OverflowError):
        return None


def parse_optional_text(value: Any) -> str | None:
    """Return a value as text, or None."""
    return None if value is None else str(value)


def parse_optional_number(value: Any) -> float | None:
    """Return a number or None; raise ValueError for other values."""
    if value is None or type(value) in (int, float):
        return value
    raise ValueError(value)


def parse_time(value: Any) -> float:
    """Return a Unix time in seconds; raise ValueError outside 1970 to 9999."""
    time_s = float(value)
    if not 0 <= time_s <= MAX_TIME_S:
        raise ValueError(value)
    return time_s


def parse_optional_version(text: Any) -> ReportedVersion | None:
    """Return a version or None; raise ValueError for malformed text."""
    if text is None:
        return None
    version = parse_version(str(text))
    if version is None:
        raise ValueError(text)
    return version


def parse_rejection(response: Any) -> RejectionReport | None:
    """Return a rejection or None; raise KeyError, TypeError or ValueError."""
    if response is None:
        return None
    version = parse_optional_version(str(response["version"]))
    return RejectionReport(version=version, reason=str(response["reason"]))


def parse_audit_report(response: Any) -> AuditReport | None:
    """Return the entries in an ``/audit`` response; None if it is malformed."""
    try:
        return AuditReport(
            n_recorded=int(response["n_recorded"]),
            entries=tuple(map(parse_audit_entry, response["entries"])),
        )
    except (KeyError, TypeError, ValueError, OverflowError):
        return None


def parse_audit_entry(response: Any) -> AuditReportEntry:
    """Return one entry; raise KeyError, TypeError, ValueError or OverflowError."""
    return AuditReportEntry(
        sequence=int(response["sequence"]),
        time_s=parse_time(response["time_s"]),
        action=str(response["action"]),
        kind=str(response["kind"] or ""),
        version=str(response["version"] or ""),
        delivered_by=str(response["delivered_by"]),
        changed_keys=tuple(map(str, response["changed_keys"])),
        changed_routes=tuple(map(str, response["changed_routes"])),
        reason=str(response["reason"]),
        n_times=int(response["n_times"]),
    )
