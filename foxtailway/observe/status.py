"""Node status that the admin port reports to operators."""

from abc import ABC, abstractmethod
from collections.abc import Mapping
from dataclasses import dataclass, field

from foxtailway.model.version import Version

__all__ = ["NodeStatus", "Rejection", "StatusProvider"]


@dataclass(frozen=True, slots=True, kw_only=True)
class Rejection:
    """Rejected version with the reason."""

    version: Version
    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class NodeStatus:
    """Status of a node at one time.

    Parameters
    ----------
    host_id, zone, region : str
        Identity of the host.
    config_version, hosts_version : Version or None
        Versions in force; None before the first one.
    role : str
        Role in the distribution tree, for example ``reader``.
    parent : str or None
        Host identifier of the parent; None without a parent.
    n_children : int
        Children that the node currently updates.
    confirmed_age_s : float or None
        Time since the platform last confirmed the versions in force, in seconds;
        None before the first confirmation.
    n_hops : int or None
        Nodes between the platform and this one; None if unknown.
    is_ready : bool
        Whether a snapshot is in force, which calls require.
    is_stopping : bool
        Whether a graceful shutdown has begun.
    last_rejection : Rejection or None
        Version that was rejected last, or None.
    withdrawn_routes : tuple of str
        Routes that are not in force because their cluster has no endpoint.
    counters : Mapping of str to int
        Further counters by name.
    """

    host_id: str
    zone: str
    region: str
    config_version: Version | None
    hosts_version: Version | None
    role: str
    parent: str | None
    n_children: int
    confirmed_age_s: float | None
    n_hops: int | None
    is_ready: bool
    is_stopping: bool
    last_rejection: Rejection | None
    withdrawn_routes: tuple[str, ...]
    counters: Mapping[str, int] = field(default_factory=dict)


class StatusProvider(ABC):
    """Interface of the source of the node status."""

    @abstractmethod
    def read_status(self) -> NodeStatus:
        """Return the current status of the node; must not block."""
