"""Interface of load balancers and the observations they learn from."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import Enum

from foxtailway.model.host import Host
from foxtailway.model.snapshot import Cluster

__all__ = ["CallObservation", "LoadBalancer", "ObservationKind"]


class ObservationKind(Enum):
    """What a caller's node saw of one call.

    ``CANCELLED`` calls ended without telling anything about the endpoint.
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
    """Describe how a call to an endpoint ended.

    Parameters
    ----------
    kind : ObservationKind
        How the call ended.
    latency_s : float
        Time from sending the call to its end, in seconds.
    """

    kind: ObservationKind
    latency_s: float


class LoadBalancer(ABC):
    """Choose the endpoint of each call from the node's own observations."""

    @abstractmethod
    def update(self, cluster: Cluster, endpoints: tuple[Host, ...], now: float) -> None:
        """Take over a cluster's settings and its endpoints.

        Observations of endpoints that stay are kept.
        """

    @abstractmethod
    def retain(self, cluster_names: frozenset[str]) -> None:
        """Forget all clusters but the named ones."""

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
            Hosts that refused the call before.
        candidates : frozenset of str or None
            Hosts to which the call is confined; None for all.
        now : float
            Time in seconds.

        Returns
        -------
        Host or None
            Endpoint, or None when no endpoint may take the call.
        """

    @abstractmethod
    def begin(self, cluster_name: str, host_id: str, now: float) -> None:
        """Count a call that is about to be sent to an endpoint."""

    @abstractmethod
    def finish(
        self, cluster_name: str, host_id: str, now: float, observation: CallObservation
    ) -> None:
        """Learn from the end of a call that was begun."""

    @abstractmethod
    def mark_draining(self, host_id: str, now: float) -> None:
        """Give a host no new work for some time or until it is listed anew."""
