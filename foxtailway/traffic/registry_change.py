"""What a node learns of upstreams and configuration in one step."""

from dataclasses import dataclass

from foxtailway.traffic.configuration import TrafficConfiguration
from foxtailway.traffic.membership import Upstream

__all__ = ["RegistryChange"]


@dataclass(frozen=True, slots=True, kw_only=True)
class RegistryChange:
    """Hold the changes of the store between two of its revisions.

    Parameters
    ----------
    base_revision : int or None
        Revision behind which the changes lie; None for a complete listing.
    revision : int
        Revision up to which all changes are included.
    upstreams : tuple of Upstream
        Upstreams that are new or changed; all of them in a listing.
    removed : tuple of str
        Identifiers of upstreams whose entry is gone.
    configuration : TrafficConfiguration or None
        Newest usable configuration among the changes, if there is one.
    """

    base_revision: int | None
    revision: int
    upstreams: tuple[Upstream, ...]
    removed: tuple[str, ...]
    configuration: TrafficConfiguration | None
