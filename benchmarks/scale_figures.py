"""Samples and printed figures of the benchmark of nodes at the design size."""

import json
from dataclasses import asdict, dataclass

__all__ = ["Convergence", "Measure", "Phase", "Sample", "Slope", "print_figure"]


@dataclass(frozen=True, slots=True, kw_only=True)
class Phase:
    """Phase of the benchmark, with the rates of changes.

    Parameters
    ----------
    name : str
        Name in the output.
    duration_s : float
        Duration in seconds.
    config_interval_s, hosts_interval_s : float or None
        Time between two changes, in seconds; None for no changes.
    """

    name: str
    duration_s: float
    config_interval_s: float | None
    hosts_interval_s: float | None


@dataclass(frozen=True, slots=True, kw_only=True)
class Measure:
    """Figures of one node in one phase, with their limits."""

    measure: str
    phase: str
    role: str
    parent: str | None
    n_hosts: int
    n_services: int
    n_children: int
    duration_s: float
    n_config_changes: int
    n_host_changes: int
    cpu_percent: float
    cpu_limit_percent: float
    resident_mb: float
    resident_limit_mb: float
    payload_bytes_per_s: float
    wire_bytes_per_s: float
    platform_bytes_per_s: float
    bytes_limit_per_s: float
    messages_per_s_and_child: float
    n_lost_children: int
    platform_calls_per_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Slope:
    """Cost of one change on one node, computed from an idle and a loaded phase."""

    measure: str
    role: str
    kind: str
    n_hosts: int
    n_services: int
    cpu_ms_per_change: float
    payload_bytes_per_change: float
    wire_bytes_per_change: float
    platform_bytes_per_change: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Convergence:
    """Time from the acceptance of an edit until the leaf applied it."""

    measure: str
    n_hosts: int
    n_services: int
    n_levels: int
    n_changes: int
    median_s: float
    max_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Sample:
    """Counters of a node at one time."""

    parent: str | None
    n_children: int
    cpu_s: float
    resident_mb: float
    n_payload_bytes: int
    n_segments: float
    n_messages: float
    n_losses: int
    n_platform_bytes: float
    n_platform_calls: float


def print_figure(figure: Measure | Slope | Convergence) -> None:
    """Print the figures as a JSON line."""
    print(json.dumps(asdict(figure)), flush=True)
