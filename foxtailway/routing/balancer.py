"""Interface of load balancers and the observations that they use."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import Enum

from foxtailway.model.host import Host
from foxtailway.model.snapshot import Cluster

__all__ = ["CallObservation", "LoadBalancer", "ObservationKind"]


class ObservationKind(Enum):
    """Result of a call, as observed by the node that sent it.

    ``CANCELLED`` calls ended without information about the endpoint.
    """

    SUCCESS = "success"
    REFUSED_OVERLOAD = "refused-overload"
    REFUSED_DRAINING = "refused-draining"
    FAILED = "failed"
    LOST = "lost"
    TIMED_OUT = "timed-out"
    CANCELLED = "cancelled"


@dataclass(frozen=True, slots=True, kw_only=True)
class CallObservation:
    """Observation of the end of a call to an endpoint.

    Parameters
    ----------
    kind : ObservationKind
        Result of the call.
    latency_s : float
        Time from sending the call to its end, in seconds.
    """

    kind: ObservationKind
    latency_s: float


class LoadBalancer(ABC):
    """Policy that chooses the endpoint of each call from this node's observations."""

    @abstractmethod
    def update(self, cluster: Cluster, endpoints: tuple[Host, ...], now: float) -> None:
        """Apply a cluster's settings and its list of endpoints.

        Observations of endpoints that remain listed are kept.
        """

    @abstractmethod
    def retain(self, cluster_names: frozenset[str]) -> None:
        """Remove the state of all clusters except the named ones."""

    @abstractmethod
    def choose(
        self,
        cluster_name: str,
        excluded: frozenset[str],
        candidates: frozenset[str] | None,
        now: float,
    ) -> Host | None:
        """Choose the endpoint for one call.

        Parameters
        ----------
        cluster_name : str
            Cluster that serves the call.
        excluded : frozenset of str
            Hosts that refused an earlier attempt of the call.
        candidates : frozenset of str or None
            Hosts to which the call is confined; None for no bound.
        now : float
            Time in seconds.

        Returns
        -------
        Host or None
            Endpoint, or None if no endpoint may receive the call.
        """

    @abstractmethod
    def begin(self, cluster_name: str, host_id: str, now: float) -> None:
        """Count a call that is about to be sent to an endpoint."""

    @abstractmethod
    def finish(
        self, cluster_name: str, host_id: str, now: float, observation: CallObservation
    ) -> None:
        """Record the end of a call for which `begin` was called."""

    @abstractmethod
    def mark_draining(self, host_id: str, now: float) -> None:
        """Send a host no new calls for a fixed time or until it is listed again."""
