"""State of one cluster, with its endpoints in tiers by distance."""

from foxtailway.model.host import Host
from foxtailway.model.snapshot import Cluster
from foxtailway.routing.endpoint import EndpointState

__all__ = ["ClusterState", "Tier"]

# Lower bound on the share of calls that a tier keeps.
MIN_TIER_SHARE = 0.1
# Relative decrease of the share per refusal for overload.
SHARE_DECREASE_PER_REFUSAL = 0.1
# Increase of the share per second without refusals.
SHARE_RECOVERY_PER_S = 0.05
# Local zone, local region and other regions.
N_TIERS = 3


class Tier:
    """Endpoints at one distance and the share of calls that the tier keeps."""

    def __init__(self) -> None:
        self.endpoint_states: list[EndpointState] = []
        self.share = 1.0
        self.updated_at = 0.0

    def recover(self, now: float) -> None:
        """Raise the share in proportion to the time since the last update."""
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
    """Settings of one cluster and the states of its endpoints."""

    def __init__(self, *, cluster: Cluster) -> None:
        self.cluster = cluster
        self.endpoints: tuple[Host, ...] = ()
        self.endpoint_states: dict[str, EndpointState] = {}
        self.tiers = tuple(Tier() for _ in range(N_TIERS))
        self.tier_by_host: dict[str, Tier] = {}

    def can_eject(self, now: float) -> bool:
        """Return whether one more endpoint may be ejected."""
        n_ejected = sum(
            state.ejected_until > now for state in self.endpoint_states.values()
        )
        max_ejected = self.cluster.max_ejected_ratio * len(self.endpoint_states)
        return n_ejected + 1 <= max_ejected
