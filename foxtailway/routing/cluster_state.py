"""What a node has observed of one cluster, by distance of the endpoints."""

from foxtailway.model.host import Host
from foxtailway.model.snapshot import Cluster
from foxtailway.routing.endpoint import EndpointState

__all__ = ["ClusterState", "Tier"]

MIN_TIER_SHARE = 0.1
SHARE_DECREASE_PER_REFUSAL = 0.1
SHARE_RECOVERY_PER_S = 0.05
N_TIERS = 3


class Tier:
    """Hold the endpoints at one distance and the share of calls they keep."""

    def __init__(self) -> None:
        self.endpoint_states: list[EndpointState] = []
        self.share = 1.0
        self.updated_at = 0.0

    def recover(self, now: float) -> None:
        """Raise the share by the time without refusals."""
        elapsed_s = max(0.0, now - self.updated_at)
        self.share = min(1.0, self.share + elapsed_s * SHARE_RECOVERY_PER_S)
        self.updated_at = now

    def record_refusal(self, now: float) -> None:
        """Lower the share after a refusal for overload."""
        self.recover(now)
        self.share = max(
            MIN_TIER_SHARE, self.share * (1.0 - SHARE_DECREASE_PER_REFUSAL)
        )


class ClusterState:
    """Hold the observations of one cluster's endpoints."""

    def __init__(self, *, cluster: Cluster) -> None:
        self.cluster = cluster
        self.endpoints: tuple[Host, ...] = ()
        self.endpoint_states: dict[str, EndpointState] = {}
        self.tiers = tuple(Tier() for _ in range(N_TIERS))
        self.tier_by_host: dict[str, Tier] = {}

    def can_eject(self, now: float) -> bool:
        """Whether one more endpoint may be ejected."""
        n_ejected = sum(
            state.ejected_until > now for state in self.endpoint_states.values()
        )
        allowed = self.cluster.max_ejected_ratio * len(self.endpoint_states)
        return n_ejected + 1 <= allowed
