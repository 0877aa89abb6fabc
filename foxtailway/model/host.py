"""Hosts of the platform's host list, which lags behind the actual state."""

from dataclasses import dataclass
from enum import Enum

__all__ = ["Host", "HostState"]


class HostState(Enum):
    """State of a host in the platform's host list."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True, kw_only=True)
class Host:
    """Host with the addresses of its node and the service of its upstream.

    Parameters
    ----------
    host_id : str
        Identifier, unique in the mesh.
    address : str
        IP address of the node.
    mesh_port : int
        TCP port of the node's mesh listener.
    zone : str
        Availability zone.
    service : str
        Service of the host's upstream.
    state : HostState
        Whether the host accepts new work.
    """

    host_id: str
    address: str
    mesh_port: int
    zone: str
    service: str
    state: HostState
