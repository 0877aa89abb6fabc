"""State of distribution on one node, for operators."""

from dataclasses import dataclass

from foxtailway.common.failure import Failure
from foxtailway.distribution.message import HeldVersion

__all__ = ["DistributionStatus"]


@dataclass(frozen=True, slots=True, kw_only=True)
class DistributionStatus:
    """Describe where a node stands in the distribution.

    Parameters
    ----------
    role : str or None
        ``reader``, ``gateway``, ``head`` or ``member``; None before the node
        knows a host list.
    parent_host_id : str or None
        Host that feeds the node.
    n_children : int
        Nodes fed by this one.
    held : tuple of HeldVersion
        Versions in force.
    confirmed_age_s : float or None
        Age of the platform's last confirmation, in seconds.
    n_hops : int
        Nodes between this one and the platform.
    is_bootstrapping : bool
        Whether bundles are held back until the peers have answered.
    n_refused_older : int
        Offers of older or conflicting versions.
    n_bytes_sent, n_bytes_received : int
        Payload bytes of control streams.
    n_platform_calls : int
        Collections started at the platform.
    last_failure : Failure or None
        Last failure with a peer, the platform or the sink.
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
