"""Settings of a sidecar."""

from collections.abc import Mapping
from dataclasses import dataclass

from foxtailway.traffic.reader_roles import HostCapacity

__all__ = ["Endpoint", "SidecarSettings"]


@dataclass(frozen=True, slots=True, kw_only=True)
class Endpoint:
    """Hold an IP address and a TCP port."""

    address: str
    port: int


@dataclass(frozen=True, slots=True, kw_only=True)
class SidecarSettings:
    """Hold the settings of one sidecar.

    Parameters
    ----------
    host_id, zone, service : str
        Host, its availability zone and the service of its upstream.
    zone_regions : Mapping of str to str
        Region of each availability zone.
    client_listener, peer_listener, ready_listener : Endpoint
        Where clients, other sidecars and the readiness check connect.
    upstream, store : Endpoint
        The upstream on this host and the store of the configuration.
    capacity : HostCapacity
        What the host can carry.
    apply_s : float
        Time within which a configuration has to be in force, in seconds.
    grace_s : float
        Time between SIGTERM and SIGKILL, in seconds.
    retry_ratio, retry_slack, retry_window_s : float
        Retry budget of the fleet for each service.
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
