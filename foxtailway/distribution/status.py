"""State of the distribution on one node, for operators."""

from dataclasses import dataclass

from foxtailway.common.failure import Failure
from foxtailway.distribution.core import DistributionCore
from foxtailway.distribution.link import LinkRole
from foxtailway.distribution.message import HeldVersion

__all__ = ["DistributionStatus", "make_status"]


@dataclass(frozen=True, slots=True, kw_only=True)
class DistributionStatus:
    """State of one node in the distribution of versions.

    Parameters
    ----------
    role : str or None
        ``reader``, ``gateway``, ``head`` or ``member``; None before the node
        knows a host list.
    parent_host_id : str or None
        Host that sends updates to the node; None without a parent.
    n_children : int
        Nodes to which this one sends updates.
    held : tuple of HeldVersion
        Versions in force.
    confirmed_age_s : float or None
        Age of the last confirmation by the platform, in seconds; None without
        one.
    n_hops : int
        Nodes between this one and the platform.
    is_bootstrapping : bool
        Whether bundles are held back until the probed peers have answered.
    n_refused_older : int
        Refused offers of older or conflicting versions.
    n_bytes_sent, n_bytes_received : int
        Payload bytes of control streams.
    n_platform_calls : int
        Collections from the platform that were started.
    last_failure : Failure or None
        Last failure of a peer, the platform or the sink.
    """

    role: str | None
    parent_host_id: str | None
    n_children: int
    held: tuple[HeldVersion, ...]
    confirmed_age_s: float | None
    n_hops: int
    is_bootstrapping: bool
    n_refused_older: int
    n_bytes_sent: int
    n_bytes_received: int
    n_platform_calls: int
    last_failure: Failure | None


def make_status(
    core: DistributionCore, *, now: float, n_bytes_sent: int, n_bytes_received: int
) -> DistributionStatus:
    """Return the state of a core.

    Parameters
    ----------
    core : DistributionCore
        Core of the node.
    now : float
        Current monotonic time in seconds.
    n_bytes_sent, n_bytes_received : int
        Payload bytes of control streams.

    Returns
    -------
    DistributionStatus
        State for operators.
    """
    parent = core.uplink.parent
    placement = core.placement
    freshness = core.context.freshness
    return DistributionStatus(
        role=placement.role.name.lower() if placement else None,
        parent_host_id=parent.host_id if parent else None,
        n_children=len(core.links.list_by_role(LinkRole.CHILD)),
        held=core.exchange.list_held(),
        confirmed_age_s=freshness.age_s(now),
        n_hops=freshness.n_hops,
        is_bootstrapping=not core.bootstrap.is_over,
        n_refused_older=core.context.n_refused_older,
        n_bytes_sent=n_bytes_sent,
        n_bytes_received=n_bytes_received,
        n_platform_calls=core.platform.poller.n_calls,
        last_failure=core.context.last_failure,
    )
