"""Schema of the settings file: its sections and keys."""

from foxtailway.config.value_kind import NameKind
from foxtailway.settings.model import (
    CallSettings,
    DistributionSettings,
    HostSettings,
    ListenSettings,
    PlatformSettings,
    UpstreamSettings,
)
from foxtailway.settings.spec import (
    SectionSpec,
    define_duration,
    define_key,
    define_number,
    define_size,
)
from foxtailway.settings.values import (
    AddressKind,
    ChoiceKind,
    PortKind,
    SeedsKind,
    UrlKind,
)

__all__ = ["SECTIONS"]

NAME = NameKind()
ADDRESS = AddressKind()
PORT = PortKind()
# Smallest and largest value of a timeout.
TIMEOUT_RANGE = ("10ms", "1min")
# Smallest and largest value of an interval.
INTERVAL_RANGE = ("10ms", "10min")
# Least severe first.
LOG_LEVELS = ("DEBUG", "INFO", "NOTICE", "WARNING", "ERROR", "CRITICAL")

HOST_SECTION = SectionSpec(
    name="host",
    summary="Identity of the host.",
    model=HostSettings,
    keys=(
        define_key("host_id", NAME, None, "Identifier, unique in the mesh."),
        define_key("address", ADDRESS, None, "Address of the node's ports."),
        define_key("zone", NAME, None, "Availability zone of the host."),
        define_key("region", NAME, None, "Region of the availability zone."),
        define_key("mesh", NAME, None, "Name of the mesh; other meshes are refused."),
    ),
)
LISTEN_SECTION = SectionSpec(
    name="listen",
    summary="TCP ports of the node; all of them differ.",
    model=ListenSettings,
    keys=(
        define_key("mesh_port", PORT, "7600", "Port for other nodes."),
        define_key("client_port", PORT, "7680", "Port for clients."),
        define_key(
            "local_port", PORT, "7681", "Port for calls of the host's upstream."
        ),
        define_key("admin_port", PORT, "7690", "Port for operators and metrics."),
    ),
)
UPSTREAM_SECTION = SectionSpec(
    name="upstream",
    summary="The local upstream.",
    model=UpstreamSettings,
    keys=(
        define_key("service", NAME, None, "Service to which the upstream belongs."),
        define_key("address", ADDRESS, "127.0.0.1", "Address of the upstream."),
        define_key("port", PORT, None, "HTTP port of the upstream."),
        define_duration(
            "connect_timeout", "1s", *TIMEOUT_RANGE, "Longest time to connect."
        ),
    ),
)
PLATFORM_SECTION = SectionSpec(
    name="platform",
    summary="The platform's configuration service.",
    model=PlatformSettings,
    keys=(
        define_key("url", UrlKind(), None, "Base URL of the service."),
        define_key("store_region", NAME, None, "Region in which the service runs."),
        define_duration(
            "watch", "20s", *INTERVAL_RANGE, "Maximum duration of one watch."
        ),
        define_duration(
            "timeout", "5s", *TIMEOUT_RANGE, "Time after which a call has failed."
        ),
        define_number(
            "calls_per_s",
            "200",
            "1",
            "2000",
            "Budget of calls shared by all nodes that fall back to the platform.",
            unit="calls per second",
        ),
    ),
)
DISTRIBUTION_SECTION = SectionSpec(
    name="distribution",
    summary="Exchange of versions between nodes.",
    model=DistributionSettings,
    keys=(
        define_key(
            "seeds", SeedsKind(), "", "Nodes to contact before a host list is known."
        ),
        define_number(
            "fan_out", "8", "1", "256", "Maximum number of children of a node."
        ),
        define_number(
            "n_readers",
            "3",
            "1",
            "16",
            "Nodes of the store's region that watch the platform.",
        ),
        define_number(
            "n_gateways",
            "2",
            "1",
            "16",
            "Number of gateways in every other region.",
        ),
        define_number(
            "n_heads",
            "2",
            "1",
            "16",
            "Number of heads in every availability zone.",
        ),
        define_duration(
            "heartbeat", "1500ms", *INTERVAL_RANGE, "Interval of heartbeats."
        ),
        define_duration(
            "silence",
            "4500ms",
            *INTERVAL_RANGE,
            "Time without a message after which a peer is disconnected;"
            " at least two heartbeats.",
        ),
        define_duration(
            "stale",
            "20s",
            *INTERVAL_RANGE,
            "Age of the platform's confirmation above which a parent is"
            " compared with others.",
        ),
        define_duration(
            "bootstrap_timeout",
            "2s",
            *TIMEOUT_RANGE,
            "Time for which a node without a version asks its peers.",
        ),
        define_number(
            "n_bootstrap_peers",
            "3",
            "1",
            "16",
            "Peers that a node without a version asks.",
        ),
        define_duration(
            "retry_base", "100ms", *INTERVAL_RANGE, "First interval of retries."
        ),
        define_duration(
            "retry_max",
            "5s",
            *INTERVAL_RANGE,
            "Largest interval of retries; at least the first one.",
        ),
        define_duration(
            "connect_timeout",
            "1s",
            *TIMEOUT_RANGE,
            "Longest time to connect to a peer.",
        ),
        define_duration(
            "hosts_coalesce",
            "1s",
            "0s",
            "1min",
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
            "connect_timeout",
            "1s",
            *TIMEOUT_RANGE,
            "Longest time to connect to a node.",
        ),
        define_duration("heartbeat", "1s", *INTERVAL_RANGE, "Interval of heartbeats."),
        define_duration(
            "silence",
            "3s",
            *INTERVAL_RANGE,
            "Time without a message after which a stream is closed;"
            " at least two heartbeats.",
        ),
        define_duration(
            "stop_timeout",
            "10s",
            *INTERVAL_RANGE,
            "Longest time that a graceful shutdown waits for calls.",
        ),
        define_number(
            "max_in_flight",
            "1000",
            "1",
            "100000",
            "Maximum number of calls in flight.",
        ),
        define_size(
            "max_message_size",
            "2MB",
            "4KB",
            "64MB",
            "Largest message between nodes.",
        ),
    ),
)
OBSERVE_SECTION = SectionSpec(
    name="observe",
    summary="Log and audit trail.",
    model=None,
    keys=(
        define_key(
            "log_level",
            ChoiceKind(words=LOG_LEVELS),
            "INFO",
            "Least severe level that is logged.",
        ),
        define_number(
            "audit_size", "1000", "1", "100000", "Entries kept in the audit trail."
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
