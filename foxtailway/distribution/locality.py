"""Which nodes may fetch whole documents over a link between regions."""

from foxtailway.distribution.message import PeerAddress
from foxtailway.distribution.topology import Topology, list_top_ranked_hosts, to_peers
from foxtailway.model.host import Host
from foxtailway.settings.model import NodeSettings

__all__ = ["Locality"]

GATEWAY_MARGIN = 2


class Locality:
    """Keep whole documents from crossing a link more often than needed.

    A returning herd holds nothing, and does not know its own roles yet. A node
    that knows the host list feeds an empty node of another region only if that
    node ranks among the first of its region; the others are sent there.

    Parameters
    ----------
    settings : NodeSettings
        Region of the node and number of gateways.
    """

    def __init__(self, *, settings: NodeSettings) -> None:
        self.region = settings.host.region
        self.n_gateways = settings.distribution.n_gateways
        self.topology: Topology | None = None
        self.first_hosts: dict[str, list[Host]] = {}

    def place(self, topology: Topology) -> None:
        """Take over a new topology."""
        self.topology = topology
        self.first_hosts = {}

    def is_remote_leaf(self, *, host_id: str, zone: str) -> bool:
        """Tell whether a node of another region should be fed there."""
        region = self.find_region(zone)
        if region is None or region == self.region:
            return False
        return all(host.host_id != host_id for host in self.rank_region(region))

    def list_gateways(self, zone: str) -> tuple[PeerAddress, ...]:
        """Return the gateways of the region of `zone`, as far as known."""
        region = self.find_region(zone)
        if region is None:
            return ()
        return to_peers(self.rank_region(region)[: self.n_gateways])

    def find_region(self, zone: str) -> str | None:
        """Return the region of a zone, or None while it is unknown."""
        if self.topology is None:
            return None
        return self.topology.zone_regions.get(zone)

    def rank_region(self, region: str) -> list[Host]:
        """Return the first hosts of a region, ranked on first use."""
        if region not in self.first_hosts:
            self.first_hosts[region] = list_top_ranked_hosts(
                self.topology,
                region=region,
                n_hosts=GATEWAY_MARGIN * self.n_gateways,
            )
        return self.first_hosts[region]
