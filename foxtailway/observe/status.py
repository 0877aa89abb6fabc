"""State of a node as operators see it."""

from abc import ABC, abstractmethod
from collections.abc import Mapping
from dataclasses import dataclass, field

from foxtailway.model.version import Version

__all__ = ["NodeStatus", "Rejection", "StatusProvider"]


@dataclass(frozen=True, slots=True, kw_only=True)
class Rejection:
    """Name a version that was rejected and why."""

    version: Version
    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class NodeStatus:
    """Describe a node at one moment.

    Parameters
    ----------
    host_id, zone, region : str
        Identity of the host.
    config_version, hosts_version : Version or None
        Versions in force; None before the first one.
    role : str
        Place in the distribution tree, for example ``reader``.
    parent : str or None
        Host identifier of the parent, or ``platform``.
    n_children : int
        Children fed now.
    confirmed_age_s : float or None
        Time since the platform confirmed the held versions, in seconds; None
        when it never did.
    n_hops : int or None
        Nodes between the platform and this one.
    is_ready : bool
        Whether the node takes calls.
    is_stopping : bool
        Whether a graceful shutdown has begun.
    last_rejection : Rejection or None
        Newest rejected version.
    withdrawn_routes : tuple of str
        Routes left out since their cluster has no endpoint.
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
    """Give the state of a node."""

    @abstractmethod
    def read_status(self) -> NodeStatus:
        """Return the state at this moment."""
