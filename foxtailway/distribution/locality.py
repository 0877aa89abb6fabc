"""Selection of the nodes that fetch whole documents from other regions."""

from foxtailway.distribution.message import PeerAddress
from foxtailway.distribution.topology import (
    Topology,
    list_top_ranked_hosts,
    make_peer_addresses,
)
from foxtailway.model.host import Host
from foxtailway.settings.model import NodeSettings

__all__ = ["Locality"]

# Hosts of a region that may fetch whole documents from another one, per gateway.
TOP_HOSTS_PER_GATEWAY = 2


class Locality:
    """Limit how often whole documents cross a link between regions.

    Nodes that restart together hold nothing and do not know their roles yet. A
    node that knows the host list sends whole documents to an empty node of
    another region only if that node ranks among the first of its region; it
    redirects the others to the gateways there.

    Parameters
    ----------
    settings : NodeSettings
        Region of the node and number of gateways.
    """

    def __init__(self, *, settings: NodeSettings) -> None:
        self.region = settings.host.region
        self.n_gateways = settings.distribution.n_gateways
        self.topology: Topology | None = None
        self.top_ranked_hosts: dict[str, list[Host]] = {}

    def update_topology(self, topology: Topology) -> None:
        """Apply a new topology."""
        self.topology = topology
        self.top_ranked_hosts = {}

    def is_remote_leaf(self, *, host_id: str, zone: str) -> bool:
        """Return whether a node of another region should be redirected to it.

        False while the region of `zone` is unknown.
        """
        region = self.find_region(zone)
        if region is None or region == self.region:
            return False
        return all(host.host_id != host_id for host in self.rank_region(region))

    def list_gateways(self, zone: str) -> tuple[PeerAddress, ...]:
        """Return the gateways of the region of `zone`; none while it is unknown."""
        region = self.find_region(zone)
        if region is None:
            return ()
        return make_peer_addresses(self.rank_region(region)[: self.n_gateways])

    def find_region(self, zone: str) -> str | None:
        """Return the region of a zone, or None while it is unknown."""
        if self.topology is None:
            return None
        return self.topology.zone_regions.get(zone)

    def rank_region(self, region: str) -> list[Host]:
        """Return the top-ranked hosts of a region, computed on first use."""
        if region not in self.top_ranked_hosts:
            self.top_ranked_hosts[region] = list_top_ranked_hosts(
                self.topology,
                region=region,
                n_hosts=TOP_HOSTS_PER_GATEWAY * self.n_gateways,
            )
        return self.top_ranked_hosts[region]
