"""Division of candidates by availability zone, with the cost of the paths."""

from collections.abc import Mapping
from dataclasses import dataclass

from foxtailway.traffic.membership import Upstream

__all__ = ["ZoneGroup", "ZoneGroups"]

# Utility lost by a call to another availability zone of the region.
INTER_ZONE_COST = 0.1
# Utility lost by a call to another region.
INTER_REGION_COST = 0.38
# One-way delay assumed between availability zones of a region.
INTER_ZONE_DELAY_S = 0.0015
# One-way delay assumed between regions.
INTER_REGION_DELAY_S = 0.012
# Tuples of candidates whose division by zone is kept: one for each service and set of
# allowed regions in use.
MAX_GROUPS = 64


@dataclass(frozen=True, slots=True, kw_only=True)
class ZoneGroup:
    """Candidates of one zone.

    Parameters
    ----------
    zone : str
        Availability zone.
    cost : float
        Utility lost by a call to the zone.
    delay_s : float
        One-way delay to the zone, in seconds.
    is_in_region : bool
        Whether the zone belongs to the region of the node.
    upstreams : tuple of Upstream
        Candidates in the zone.
    can_queue : bool, default=False
        Whether requests may queue there although it is in another region.
    wait_weight : float, default=1.0
        Factor of the expected wait in the cost of latency.
    """

    zone: str
    cost: float
    delay_s: float
    is_in_region: bool
    upstreams: tuple[Upstream, ...]
    can_queue: bool = False
    wait_weight: float = 1.0


class ZoneGroups:
    """Zones as seen from the zone of this node.

    Parameters
    ----------
    zone : str
        Availability zone of the node.
    zone_regions : Mapping of str to str
        Region of each availability zone.
    """

    def __init__(self, *, zone: str, zone_regions: Mapping[str, str]) -> None:
        self.zone = zone
        self.zone_regions = zone_regions
        self.groups: dict[int, tuple[tuple[Upstream, ...], tuple[ZoneGroup, ...]]] = {}

    def is_in_region(self, zone: str) -> bool:
        """Return whether an availability zone belongs to this node's region."""
        if zone == self.zone:
            return True
        region = self.zone_regions.get(zone)
        return region is not None and region == self.zone_regions.get(self.zone)

    def get_path_cost(self, zone: str) -> tuple[float, float]:
        """Return the cost and the one-way delay in seconds of a call to a zone."""
        if zone == self.zone:
            return 0.0, 0.0
        if self.is_in_region(zone):
            return INTER_ZONE_COST, INTER_ZONE_DELAY_S
        return INTER_REGION_COST, INTER_REGION_DELAY_S

    def divide(self, upstreams: tuple[Upstream, ...]) -> tuple[ZoneGroup, ...]:
        """Return the upstreams by zone, those with the lowest cost first.

        The result is kept as long as the candidates of a service stay the same.
        """
        kept = self.groups.get(id(upstreams))
        if kept is not None and kept[0] is upstreams:
            return kept[1]
        by_zone: dict[str, list[Upstream]] = {}
        for upstream in upstreams:
            by_zone.setdefault(upstream.zone, []).append(upstream)
        groups = []
        for zone, members in by_zone.items():
            cost, delay_s = self.get_path_cost(zone)
            group = ZoneGroup(
                zone=zone,
                cost=cost,
                delay_s=delay_s,
                is_in_region=self.is_in_region(zone),
                upstreams=tuple(members),
            )
            groups.append(group)
        groups.sort(key=lambda group: (group.cost, group.delay_s))
        if len(self.groups) >= MAX_GROUPS:
            self.groups.clear()
        divided = tuple(groups)
        self.groups[id(upstreams)] = (upstreams, divided)
        return divided
