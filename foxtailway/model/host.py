"""Hosts as published in the platform's lagging host list."""

from dataclasses import dataclass
from enum import Enum

__all__ = ["Host", "HostState"]


class HostState(Enum):
    """State of a host in the host list."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True, kw_only=True)
class Host:
    """Describe one target host, its node and its upstream.

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
        Service to which the host's upstream belongs.
    state : HostState
        Whether the host takes new work.
    """

    host_id: str
    address: str
    mesh_port: int
    zone: str
    service: str
    state: HostState
