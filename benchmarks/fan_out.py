"""Depth, traffic and detection time for several fan-outs and heartbeats."""

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

N_HOSTS = 28_000
N_ZONES = 32
N_REGIONS = 9
N_SAMPLED = 400
SECONDS_PER_DAY = 86_400
CONFIG_CHANGES_PER_DAY = 16_000
HOST_CHANGES_PER_DAY = 3 * 6_500
HEADER_BYTES = 40
ACKNOWLEDGEMENT_BYTES = 40
SILENCE_HEARTBEATS = 3
CONNECT_TIMEOUT_S = 1.0
HOSTS_COALESCE_S = 1.0
EXTRA_UPDATE_BYTES = (0, 300)
FAN_OUTS = (8, 16, 32)
HEARTBEATS_S = (1.0, 1.5, 2.0, 3.0)
N_READERS = 3
N_GATEWAYS = 2
N_HEADS = 3
MS_PER_S = 1_000


@dataclass(frozen=True, slots=True, kw_only=True)
class MessageSizes:
    """Hold sizes on the wire, each with header and acknowledgement."""

    heartbeat: int
    config_update: int
    hosts_update: int


def measure_sizes() -> MessageSizes:
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
    return sum(len(codec.encode(part)) for part in encode_update(bundle, base=base))


def make_config(timeout_ms: int) -> Bundle:
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
    """Follow preferred parents through the topology."""

    def __init__(self, fan_out: int) -> None:
        self.fan_out = fan_out
        self.topology = make_topology()
        self.zones = {host.host_id: host.zone for host in self.topology.hosts}
        self.placements: dict[str, Placement] = {}
        self.place_ms: list[float] = []

    def place(self, host_id: str) -> Placement:
        """Return the place of a host."""
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
            start_s = perf_counter()
            self.placements[host_id] = compute_placement(
                self.topology, settings=settings
            )
            self.place_ms.append((perf_counter() - start_s) * MS_PER_S)
        return self.placements[host_id]

    def measure_depth(self, host_id: str) -> int:
        """Return the number of nodes from the platform to a host."""
        depth = 1
        candidates = self.place(host_id).candidates
        while candidates:
            depth += 1
            candidates = self.place(candidates[0].host_id).candidates
        return depth


def measure_tree(fan_out: int) -> None:
    tree = Tree(fan_out)
    sampled = Random(5).sample(sorted(tree.zones), k=N_SAMPLED)
    depths = [tree.measure_depth(host_id) for host_id in sampled]
    print(
        json.dumps(
            {
                "measure": "fan_out_depth",
                "fan_out": fan_out,
                "n_hosts": N_HOSTS,
                "depth_median": sorted(depths)[len(depths) // 2],
                "depth_max": max(depths),
                "place_ms_median": round(
                    sorted(tree.place_ms)[len(tree.place_ms) // 2], 2
                ),
            }
        )
    )


def measure_traffic(
    sizes: MessageSizes, *, fan_out: int, heartbeat_s: float, n_extra_bytes: int
) -> None:
    n_links = fan_out + 1
    hosts_rate = min(HOST_CHANGES_PER_DAY / SECONDS_PER_DAY, 1 / HOSTS_COALESCE_S)
    config_rate = CONFIG_CHANGES_PER_DAY / SECONDS_PER_DAY
    updates = config_rate * (sizes.config_update + n_extra_bytes)
    updates += hosts_rate * (sizes.hosts_update + n_extra_bytes)
    heartbeats = 2 * sizes.heartbeat / heartbeat_s
    detection_s = SILENCE_HEARTBEATS * heartbeat_s
    print(
        json.dumps(
            {
                "measure": "fan_out_traffic",
                "fan_out": fan_out,
                "heartbeat_s": heartbeat_s,
                "extra_update_bytes": n_extra_bytes,
                "relay_bytes_per_s": ceil(n_links * (updates + heartbeats)),
                "leaf_bytes_per_s": ceil(updates + heartbeats),
                "detection_s": detection_s,
                "replacement_s": detection_s + heartbeat_s / 4 + CONNECT_TIMEOUT_S,
            }
        )
    )


def main() -> None:
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
