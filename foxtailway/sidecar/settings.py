"""Settings of a sidecar."""

from collections.abc import Mapping
from dataclasses import dataclass

from foxtailway.sidecar.memory_account import AccountLimits
from foxtailway.traffic.reader_roles import HostCapacity
from foxtailway.traffic.registry_access import DEFAULT_HEARTBEAT_S
from foxtailway.traffic.zone_spill import ZoneSpillSettings

__all__ = ["Endpoint", "SidecarSettings"]


@dataclass(frozen=True, slots=True, kw_only=True)
class Endpoint:
    """IP address and TCP port of a listener or a server."""

    address: str
    port: int


@dataclass(frozen=True, slots=True, kw_only=True)
class SidecarSettings:
    """Settings of one sidecar.

    Parameters
    ----------
    host_id, zone, service : str
        Identifier of the host, its availability zone and the service of its
        upstream.
    zone_regions : Mapping of str to str
        Region of each availability zone.
    client_listener, peer_listener, ready_listener : Endpoint
        Endpoints on which clients, other sidecars and readiness checks are
        accepted.
    upstream, store : Endpoint
        Endpoints of the upstream on this host and of the store that holds the
        configuration and the registry.
    capacity : HostCapacity
        Link and processor capacity of the host.
    apply_s : float
        Time within which a configuration has to be in force, in seconds.
    grace_s : float
        Time between SIGTERM and SIGKILL, in seconds.
    retry_ratio, retry_slack, retry_window_s : float
        Retry budget of all sidecars together for each service: ratio of retries
        to requests, retries allowed in addition to it, and length of the sliding
        window in seconds.
    max_response_size : int
        Largest body of one response of the upstream, in bytes.
    max_buffered_size : int
        Largest sum of the bodies of all responses that are received at a time, in
        bytes.
    memory_size : int, default=256_000_000
        Memory that the process may use, in bytes.
    max_n_descriptors : int, default=1_024
        Descriptors that the process may open.
    cold_overage : float, default=1.0
        Ratio of the requests that a cold upstream may get in a second to its
        sustained rate.
    cold_slack : float, default=0.0
        Requests that a cold upstream may get in a second in addition to that.
    has_evacuations : bool, default=True
        Whether zones of the deployment may be evacuated.
    heartbeat_s : float, default=DEFAULT_HEARTBEAT_S
        Interval at which upstreams renew their registry entries, in seconds.
    is_urgent_first : bool, default=True
        Whether requests get slots by urgency and are refused early
        (`ContendedSlotQueue`), or by priority and due time only.
    memory_margin, memory_reserve, min_rate, min_rate_window_s, descriptor_reserve
        Fields of `AccountLimits`.
    zone_spill : ZoneSpillSettings
        Mode and prices of the spill-over between zones.
    is_first_start : bool, default=False
        Whether all sidecars start for the first time, so that none has a
        configuration.
    """

    host_id: str
    zone: str
    service: str
    zone_regions: Mapping[str, str]
    client_listener: Endpoint
    peer_listener: Endpoint
    ready_listener: Endpoint
    upstream: Endpoint
    store: Endpoint
    capacity: HostCapacity
    apply_s: float
    grace_s: float
    retry_ratio: float
    retry_slack: float
    retry_window_s: float
    max_response_size: int
    max_buffered_size: int
    memory_size: int = 256_000_000
    max_n_descriptors: int = 1_024
    cold_overage: float = 1.0
    cold_slack: float = 0.0
    has_evacuations: bool = True
    heartbeat_s: float = DEFAULT_HEARTBEAT_S
    is_urgent_first: bool = True
    memory_margin: float = AccountLimits().memory_margin
    memory_reserve: float = AccountLimits().memory_reserve
    min_rate: float = AccountLimits().min_rate
    min_rate_window_s: float = AccountLimits().min_rate_window_s
    descriptor_reserve: float = AccountLimits().descriptor_reserve
    zone_spill: ZoneSpillSettings = ZoneSpillSettings()
    is_first_start: bool = False

    @property
    def account_limits(self) -> AccountLimits:
        """Limits of the memory and the connections for others."""
        return AccountLimits(
            memory_size=self.memory_size,
            memory_margin=self.memory_margin,
            memory_reserve=self.memory_reserve,
            min_rate=self.min_rate,
            min_rate_window_s=self.min_rate_window_s,
            max_n_descriptors=self.max_n_descriptors,
            descriptor_reserve=self.descriptor_reserve,
        )
