"""Depth of the distribution tree in a fleet of the design size."""

import json
from collections import Counter
from dataclasses import asdict, dataclass
from random import Random

from benchmarks.design_fleet import DesignFleet, DesignSize
from foxtailway.distribution.placement import Role
from foxtailway.model import Host

# Hosts whose level is computed.
N_SAMPLED = 300
# Seed of the sample.
SEED = 7


@dataclass(frozen=True, slots=True, kw_only=True)
class Measure:
    """Number of sampled hosts on each level of the tree."""

    measure: str
    n_hosts: int
    n_sampled: int
    hosts_by_level: dict[int, int]


class Tree:
    """Distribution tree in which every host has its preferred parent.

    Parameters
    ----------
    fleet : DesignFleet
        Layout of the hosts.
    """

    def __init__(self, fleet: DesignFleet) -> None:
        self.fleet = fleet
        self.levels: dict[str, int] = {}

    def find_level(self, host: Host) -> int:
        """Return the number of nodes on the path from the platform to a host.

        The host is included, so that a reader has level 1.
        """
        if host.host_id not in self.levels:
            placement = self.fleet.compute_host_placement(host)
            level = 1
            if placement.role is not Role.READER:
                parent = self.fleet.hosts[placement.candidates[0].host_id]
                level += self.find_level(parent)
            self.levels[host.host_id] = level
        return self.levels[host.host_id]


def main() -> None:
    """Print one JSON object with the sampled hosts by level."""
    size = DesignSize()
    fleet = DesignFleet(size=size, platform_url="http://127.0.0.1:1")
    tree = Tree(fleet)
    sampled = Random(SEED).sample(list(fleet.hosts.values()), k=N_SAMPLED)
    counts = Counter(map(tree.find_level, sampled))
    measure = Measure(
        measure="tree_depth",
        n_hosts=size.n_hosts,
        n_sampled=N_SAMPLED,
        hosts_by_level=dict(sorted(counts.items())),
    )
    print(json.dumps(asdict(measure)), flush=True)


if __name__ == "__main__":
    main()
