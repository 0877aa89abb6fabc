"""Sections and keys of the settings file."""

from foxtailway.settings.model import (
    CallSettings,
    DistributionSettings,
    HostSettings,
    ListenSettings,
    PlatformSettings,
    UpstreamSettings,
)
from foxtailway.settings.spec import SectionSpec, define, define_duration
from foxtailway.settings.values import (
    LARGEST_PORT,
    SMALLEST_PORT,
    AddressValue,
    ChoiceValue,
    DurationValue,
    IntegerValue,
    NameValue,
    SeedsValue,
    SizeValue,
    UrlValue,
)

__all__ = ["SECTIONS"]

NAME = NameValue()
ADDRESS = AddressValue()
PORT = IntegerValue(smallest=SMALLEST_PORT, largest=LARGEST_PORT)
TIMEOUT = DurationValue(smallest_s=0.01, largest_s=60.0)
INTERVAL = DurationValue(smallest_s=0.01, largest_s=600.0)
LOG_LEVELS = ("DEBUG", "INFO", "NOTICE", "WARNING", "ERROR", "CRITICAL")
HOST_SECTION = SectionSpec(
    name="host",
    summary="Identity of the host.",
    model=HostSettings,
    keys=(
        define("host_id", NAME, None, "Identifier, unique in the mesh."),
        define("address", ADDRESS, None, "Address of the node's ports."),
        define("zone", NAME, None, "Availability zone of the host."),
        define("region", NAME, None, "Region of the availability zone."),
        define("mesh", NAME, None, "Name of the mesh; other meshes are refused."),
    ),
)
LISTEN_SECTION = SectionSpec(
    name="listen",
    summary="TCP ports of the node; all of them differ.",
    model=ListenSettings,
    keys=(
        define("mesh_port", PORT, "7600", "Port for other nodes."),
        define("client_port", PORT, "7680", "Port for clients."),
        define("local_port", PORT, "7681", "Port for calls of the host's upstream."),
        define("admin_port", PORT, "7690", "Port for operators and metrics."),
    ),
)
UPSTREAM_SECTION = SectionSpec(
    name="upstream",
    summary="The host's own upstream.",
    model=UpstreamSettings,
    keys=(
        define("service", NAME, None, "Service to which the upstream belongs."),
        define("address", ADDRESS, "127.0.0.1", "Address of the upstream."),
        define("port", PORT, None, "HTTP port of the upstream."),
        define_duration("connect_timeout", TIMEOUT, "1s", "Longest time to connect."),
    ),
)
PLATFORM_SECTION = SectionSpec(
    name="platform",
    summary="The platform's configuration service.",
    model=PlatformSettings,
    keys=(
        define("url", UrlValue(), None, "Base URL of the service."),
        define("store_region", NAME, None, "Region in which the service runs."),
        define_duration("watch", INTERVAL, "20s", "Longest wait of one watch."),
        define_duration(
            "timeout", TIMEOUT, "5s", "Time after which a call has failed."
        ),
        define(
            "calls_per_s",
            IntegerValue(smallest=1, largest=2_000, unit="calls per second"),
            "200",
            "Budget of calls shared by all nodes that fall back to the platform.",
        ),
    ),
)
DISTRIBUTION_SECTION = SectionSpec(
    name="distribution",
    summary="Exchange of versions between nodes.",
    model=DistributionSettings,
    keys=(
        define("seeds", SeedsValue(), "", "Nodes asked before a host list is known."),
        define(
            "fan_out",
            IntegerValue(smallest=1, largest=256),
            "16",
            "Children that a node feeds at a time.",
        ),
        define(
            "n_readers",
            IntegerValue(smallest=1, largest=16),
            "2",
            "Nodes of the store's region that watch the platform.",
        ),
        define(
            "n_gateways",
            IntegerValue(smallest=1, largest=16),
            "2",
            "Nodes of every other region that are fed over the link.",
        ),
        define(
            "n_heads",
            IntegerValue(smallest=1, largest=16),
            "2",
            "Nodes of every availability zone that are fed from outside it.",
        ),
        define_duration("heartbeat", INTERVAL, "4s", "Interval of heartbeats."),
        define_duration(
            "silence",
            INTERVAL,
            "10s",
            "Silence after which a peer is left; at least two heartbeats.",
        ),
        define_duration(
            "stale",
            INTERVAL,
            "30s",
            "Age of the platform's confirmation above which a parent is"
            " compared with others.",
        ),
        define_duration(
            "bootstrap_timeout",
            TIMEOUT,
            "3s",
            "Time for which a node without a version asks its peers.",
        ),
        define(
            "n_bootstrap_peers",
            IntegerValue(smallest=1, largest=16),
            "3",
            "Peers that a node without a version asks.",
        ),
        define_duration("retry_base", INTERVAL, "200ms", "First interval of retries."),
        define_duration(
            "retry_max",
            INTERVAL,
            "20s",
            "Largest interval of retries; at least the first one.",
        ),
        define_duration(
            "connect_timeout", TIMEOUT, "2s", "Longest time to connect to a peer."
        ),
        define_duration(
            "hosts_coalesce",
            DurationValue(smallest_s=0.0, largest_s=60.0),
            "1s",
            "Time over which a reader collects changes of the host list.",
        ),
    ),
)
CALLS_SECTION = SectionSpec(
    name="calls",
    summary="Calls between nodes.",
    model=CallSettings,
    keys=(
        define_duration(
            "connect_timeout", TIMEOUT, "1s", "Longest time to connect to a node."
        ),
        define_duration("heartbeat", INTERVAL, "1s", "Interval of heartbeats."),
        define_duration(
            "silence",
            INTERVAL,
            "3s",
            "Silence after which a stream is left; at least two heartbeats.",
        ),
        define_duration(
            "stop_timeout",
            INTERVAL,
            "10s",
            "Longest time that a graceful shutdown waits for calls.",
        ),
        define(
            "max_in_flight",
            IntegerValue(smallest=1, largest=100_000),
            "1000",
            "Calls that the node carries at a time.",
        ),
        define(
            "max_message_size",
            SizeValue(smallest=4_000, largest=64_000_000),
            "2MB",
            "Largest message between nodes.",
        ),
    ),
)
OBSERVE_SECTION = SectionSpec(
    name="observe",
    summary="Log and audit trail.",
    model=None,
    keys=(
        define(
            "log_level",
            ChoiceValue(choices=LOG_LEVELS),
            "INFO",
            "Least severe level that is logged.",
        ),
        define(
            "audit_size",
            IntegerValue(smallest=1, largest=100_000),
            "1000",
            "Entries kept in the audit trail.",
        ),
    ),
)
SECTIONS = (
    HOST_SECTION,
    LISTEN_SECTION,
    UPSTREAM_SECTION,
    PLATFORM_SECTION,
    DISTRIBUTION_SECTION,
    CALLS_SECTION,
    OBSERVE_SECTION,
)
