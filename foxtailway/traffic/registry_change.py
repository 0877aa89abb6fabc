"""Changes of the registry and the configuration between two store revisions."""

from dataclasses import dataclass

from foxtailway.traffic.configuration import TrafficConfiguration
from foxtailway.traffic.membership import Upstream

__all__ = ["EvacuationWrite", "RegistryChange", "StorePosition"]


@dataclass(frozen=True, slots=True, kw_only=True, order=True)
class StorePosition:
    """Revision of the store within an epoch; positions are ordered by epoch first.

    Parameters
    ----------
    epoch : int
        Number of the epoch; 0 for a store that has none.
    revision : int
        Revision of the store, which is unique within the epoch only.
    """

    epoch: int
    revision: int


@dataclass(frozen=True, slots=True, kw_only=True)
class EvacuationWrite:
    """Write of the key that evacuates a zone.

    Parameters
    ----------
    zone : str
        Evacuated zone.
    revision : int
        Revision of the store at which the key was written.
    """

    zone: str
    revision: int


@dataclass(frozen=True, slots=True, kw_only=True)
class RegistryChange:
    """Changes of the store between two of its revisions.

    Parameters
    ----------
    base_revision : int or None
        Revision after which the changes were made; None for a full listing.
    revision : int
        Revision up to which all changes are included.
    upstreams : tuple of Upstream
        Upstreams that are added or changed; all upstreams in a listing.
    removed : tuple of str
        Identifiers of upstreams whose registry entry was removed.
    configuration : TrafficConfiguration or None
        Newest valid configuration among the changes, or None if there is none.
    evacuated : tuple of str, default=()
        Zones whose evacuation began; all evacuated zones in a listing.
    returned : tuple of str, default=()
        Zones whose evacuation ended.
    epoch : int, default=0
        Epoch of the store to which the revisions belong; 0 for a store without epochs.
    evacuation_writes : tuple of EvacuationWrite, default=()
        Writes of evacuations among the changes, in order; empty without epochs. A
        listing of another node also has those of evacuations that have ended.
    """

    base_revision: int | None
    revision: int
    upstreams: tuple[Upstream, ...] = ()
    removed: tuple[str, ...] = ()
    configuration: TrafficConfiguration | None = None
    evacuated: tuple[str, ...] = ()
    returned: tuple[str, ...] = ()
    epoch: int = 0
    evacuation_writes: tuple[EvacuationWrite, ...] = ()

    @property
    def position(self) -> StorePosition:
        """Position in the store up to which all changes are included."""
        return StorePosition(epoch=self.epoch, revision=self.revision)
