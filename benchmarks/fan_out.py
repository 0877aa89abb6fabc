"""Depth, traffic and failure detection time by fan-out and heartbeat interval."""

import json
from dataclasses import dataclass
from functools import cache
from math import ceil
from random import Random
from time import perf_counter

from foxtailway.distribution.delta import encode_update
from foxtailway.distribution.message import (
    CONTROL_MESSAGE_TYPES,
    Confirmation,
    Heartbeat,
)
from foxtailway.distribution.placement import Placement, compute_placement
from foxtailway.distribution.tests.support import make_host, make_settings
from foxtailway.distribution.topology import Topology
from foxtailway.model import Bundle, BundleKind, make_bundle, make_document
from foxtailway.transport import MessageCodec

# Hosts of the design size.
N_HOSTS = 28_000
# Availability zones of the design size.
N_ZONES = 32
# Regions of the design size.
N_REGIONS = 9
# Hosts whose depth is computed.
N_SAMPLED = 400
SECONDS_PER_DAY = 86_400
# Configuration changes at the design size.
CONFIG_CHANGES_PER_DAY = 16_000
# Changes of the host list at the design size: 6,500 restarts, with three changes
# each.
HOST_CHANGES_PER_DAY = 3 * 6_500
# IP header and TCP header of a message, without TCP options.
HEADER_BYTES = 40
# Size of a TCP acknowledgement without payload.
ACKNOWLEDGEMENT_BYTES = 40
# Heartbeat intervals without a message after which a peer is disconnected.
SILENCE_HEARTBEATS = 3
# Timeout of a connection attempt.
CONNECT_TIMEOUT_S = 1.0
# Time during which a reader collects host changes into one update.
HOSTS_COALESCE_S = 1.0
# Bytes added to the size of each update.
EXTRA_UPDATE_BYTES = (0, 300)
# Compared fan-outs.
FAN_OUTS = (8, 16, 32)
# Compared intervals of heartbeats.
HEARTBEATS_S = (1.0, 1.5, 2.0, 3.0)
# Readers in the store's region.
N_READERS = 3
# Gateways of every other region.
N_GATEWAYS = 2
# Heads of every availability zone.
N_HEADS = 3
MS_PER_S = 1_000


@dataclass(frozen=True, slots=True, kw_only=True)
class MessageSizes:
    """Sizes of messages on the wire in bytes, with header and acknowledgement."""

    heartbeat: int
    config_update: int
    hosts_update: int


def measure_sizes() -> MessageSizes:
    """Return the sizes of a heartbeat and of updates with one change."""
    codec = MessageCodec(message_types=CONTROL_MESSAGE_TYPES)
    overhead = HEADER_BYTES + ACKNOWLEDGEMENT_BYTES
    heartbeat = Heartbeat(confirmation=Confirmation(age_ms=70_000, n_hops=6))
    bundles = [make_config(value) for value in (100, 250)]
    host_lists = [make_host_list(state) for state in ("live", "leaving")]
    return MessageSizes(
        heartbeat=len(codec.encode(heartbeat)) + overhead,
        config_update=measure_update(codec, *bundles) + overhead,
        hosts_update=measure_update(codec, *host_lists) + overhead,
    )


def measure_update(codec: MessageCodec, base: Bundle, bundle: Bundle) -> int:
    """Return the size in bytes of all messages of an update."""
    return sum(len(codec.encode(part)) for part in encode_update(bundle, base=base))


def make_config(timeout_ms: int) -> Bundle:
    """Return a configuration in which one cluster has a timeout."""
    sections = [
        f"[cluster svc-{index:03}]\nslots = 10\nconnections = {index}\n"
        for index in range(910)
    ]
    sections[400] += f"timeout = {timeout_ms} ms\n"
    document = make_document(key="base", content="".join(sections).encode())
    return make_bundle(
        kind=BundleKind.CONFIG,
        generation=1,
        revision=100_000 + timeout_ms,
        documents=(document,),
    )


def make_host_list(state: str) -> Bundle:
    """Return a host list of a zone in which one host has a state."""
    lines = [
        f"host-{index:05} 10.1.{index // 250}.{index % 250} 7000 svc-{index:03} live\n"
        for index in range(875)
    ]
    lines[400] = lines[400].replace("live", state)
    document = make_document(key="hosts/accra-a", content="".join(lines).encode())
    return make_bundle(
        kind=BundleKind.HOSTS,
        generation=1,
        revision=100_000 + len(state),
        documents=(document,),
    )


@cache
def make_topology() -> Topology:
    """Return a topology of the design size."""
    zones = [f"zone-{index:02}" for index in range(N_ZONES)]
    zone_regions = {
        zone: f"region-{index * N_REGIONS // N_ZONES}"
        for index, zone in enumerate(zones)
    }
    hosts = tuple(
        make_host(
            f"host-{index:05}",
            zone=zones[index % N_ZONES],
            address=f"10.{index // 62_500}.{index // 250 % 250}.{index % 250}",
        )
        for index in range(N_HOSTS)
    )
    return Topology(hosts=hosts, zone_regions=zone_regions)


class Tree:
    """Distribution tree in which every host has its preferred parent.

    Parameters
    ----------
    fan_out : int
        Children that a node updates at the same time.
    """

    def __init__(self, fan_out: int) -> None:
        self.fan_out = fan_out
        self.topology = make_topology()
        self.zones = {host.host_id: host.zone for host in self.topology.hosts}
        self.placements: dict[str, Placement] = {}
        self.placement_times_ms: list[float] = []

    def compute_host_placement(self, host_id: str) -> Placement:
        """Return the placement of a host in the distribution tree."""
        if host_id not in self.placements:
            zone = self.zones[host_id]
            settings = make_settings(
                host_id,
                zone=zone,
                region=self.topology.zone_regions[zone],
                fan_out=self.fan_out,
                n_readers=N_READERS,
                n_gateways=N_GATEWAYS,
                n_heads=N_HEADS,
            )
            started_at = perf_counter()
            self.placements[host_id] = compute_placement(
                self.topology, settings=settings
            )
            self.placement_times_ms.append((perf_counter() - started_at) * MS_PER_S)
        return self.placements[host_id]

    def compute_depth(self, host_id: str) -> int:
        """Return the number of nodes on the path from the platform to a host."""
        depth = 1
        candidates = self.compute_host_placement(host_id).candidates
        while candidates:
            depth += 1
            candidates = self.compute_host_placement(candidates[0].host_id).candidates
        return depth


def measure_tree(fan_out: int) -> None:
    """Print the depth of the tree and the duration of the placement of a host."""
    tree = Tree(fan_out)
    sampled = Random(5).sample(sorted(tree.zones), k=N_SAMPLED)
    depths = [tree.compute_depth(host_id) for host_id in sampled]
    print(
        json.dumps(
            {
                "measure": "fan_out_depth",
                "fan_out": fan_out,
                "n_hosts": N_HOSTS,
                "depth_median": sorted(depths)[len(depths) // 2],
                "depth_max": max(depths),
                "place_ms_median": round(
                    sorted(tree.placement_times_ms)[len(tree.placement_times_ms) // 2],
                    2,
                ),
            }
        )
    )


def measure_traffic(
    sizes: MessageSizes, *, fan_out: int, heartbeat_s: float, n_extra_bytes: int
) -> None:
    """Print the traffic of a relay and of a leaf, and the time to replace a parent.

    Parameters
    ----------
    sizes : MessageSizes
        Sizes of the messages.
    fan_out : int
        Children of a relay.
    heartbeat_s : float
        Interval of heartbeats, in seconds.
    n_extra_bytes : int
        Bytes added to the size of each update.
    """
    n_streams = fan_out + 1
    host_changes_per_s = min(
        HOST_CHANGES_PER_DAY / SECONDS_PER_DAY, 1 / HOSTS_COALESCE_S
    )
    config_changes_per_s = CONFIG_CHANGES_PER_DAY / SECONDS_PER_DAY
    update_bytes_per_s = config_changes_per_s * (sizes.config_update + n_extra_bytes)
    update_bytes_per_s += host_changes_per_s * (sizes.hosts_update + n_extra_bytes)
    heartbeat_bytes_per_s = 2 * sizes.heartbeat / heartbeat_s
    detection_s = SILENCE_HEARTBEATS * heartbeat_s
    print(
        json.dumps(
            {
                "measure": "fan_out_traffic",
                "fan_out": fan_out,
                "heartbeat_s": heartbeat_s,
                "extra_update_bytes": n_extra_bytes,
                "relay_bytes_per_s": ceil(
                    n_streams * (update_bytes_per_s + heartbeat_bytes_per_s)
                ),
                "leaf_bytes_per_s": ceil(update_bytes_per_s + heartbeat_bytes_per_s),
                "detection_s": detection_s,
                "replacement_s": detection_s + heartbeat_s / 4 + CONNECT_TIMEOUT_S,
            }
        )
    )


def main() -> None:
    """Print message sizes, then depth and traffic for each fan-out."""
    sizes = measure_sizes()
    print(
        json.dumps(
            {
                "measure": "fan_out_message_bytes",
                "heartbeat": sizes.heartbeat,
                "config_update": sizes.config_update,
                "hosts_update": sizes.hosts_update,
            }
        )
    )
    for fan_out in FAN_OUTS:
        measure_tree(fan_out)
        for heartbeat_s in HEARTBEATS_S:
            for n_extra_bytes in EXTRA_UPDATE_BYTES:
                measure_traffic(
                    sizes,
                    fan_out=fan_out,
                    heartbeat_s=heartbeat_s,
                    n_extra_bytes=n_extra_bytes,
                )


if __name__ == "__main__":
    main()
