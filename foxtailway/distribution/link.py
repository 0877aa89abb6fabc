"""State of the control streams of a node."""

from dataclasses import dataclass, field
from enum import Enum

from foxtailway.distribution.assembly import UpdateAssembly
from foxtailway.distribution.message import HeldVersion, PeerAddress
from foxtailway.model.bundle import BundleKind
from foxtailway.model.version import Version, VersionOrder, compare_versions

__all__ = ["Link", "LinkRole", "LinkTable"]


class LinkRole(Enum):
    """Purpose of a stream.

    A ``TRIAL`` is a stream to a possible parent that has not been selected yet,
    a ``PROBE`` one that only requests the versions of the peer, and an
    ``INBOUND_PROBE`` one that was opened by a node that probes this one.
    """

    PARENT = "parent"
    TRIAL = "trial"
    PROBE = "probe"
    CHILD = "child"
    INBOUND_PROBE = "guest"


@dataclass(slots=True, kw_only=True)
class Link:
    """State of one control stream.

    Parameters
    ----------
    link_id : int
        Identifier of the stream within the node.
    role : LinkRole
        Purpose of the stream.
    target : PeerAddress or None
        Dialed address; None for accepted streams.
    host_id : str or None
        Host of the peer, once known.
    zone : str
        Zone of the node that opened the stream; empty for dialed streams.
    listen_address : PeerAddress or None
        Mesh listener of the node that opened the stream.
    is_established : bool
        Whether the hello was acknowledged.
    opened_s, last_received_s, last_sent_s : float
        Monotonic times of the opening, of the last message received and of the
        last one sent, in seconds.
    peer_versions : dict of BundleKind to Version
        Versions that the peer holds or was sent.
    is_preferred : bool
        Whether the node is the preferred parent of the child.
    staged : frozenset of bytes
        Digests of documents that the peer staged.
    sending : dict of BundleKind to bool
        Kinds of the updates being sent, and whether they are full transfers.
    assemblies : dict of BundleKind to UpdateAssembly
        Updates being received.
    unusable_update : tuple of Version and bytes, or None
        Version and base digest of the last received update whose base this
        node does not hold.
    n_held_reports : int
        Held reports that the peer sent because an update was unusable.
    """

    link_id: int
    role: LinkRole
    target: PeerAddress | None
    host_id: str | None
    is_established: bool
    opened_s: float
    last_received_s: float
    last_sent_s: float
    peer_versions: dict[BundleKind, Version] = field(default_factory=dict)
    zone: str = ""
    listen_address: PeerAddress | None = None
    is_preferred: bool = False
    staged: frozenset[bytes] = frozenset()
    sending: dict[BundleKind, bool] = field(default_factory=dict)
    assemblies: dict[BundleKind, UpdateAssembly] = field(default_factory=dict)
    unusable_update: tuple[Version, bytes | None] | None = None
    n_held_reports: int = 0

    @property
    def peer(self) -> str:
        """Return the name of the peer in failures."""
        return self.host_id or str(self.target)

    @property
    def is_dialed(self) -> bool:
        """Return whether this node opened the stream."""
        return self.target is not None

    @property
    def can_exchange_updates(self) -> bool:
        """Return whether versions are pushed over the stream."""
        return self.is_established and self.role in (
            LinkRole.PARENT,
            LinkRole.TRIAL,
            LinkRole.CHILD,
        )

    def record_peer_version(self, kind: BundleKind, version: Version) -> None:
        """Record that the peer holds at least `version`."""
        order = compare_versions(held=self.peer_versions.get(kind), offered=version)
        if order is VersionOrder.NEWER:
            self.peer_versions[kind] = version

    def replace_peer_versions(self, held: tuple[HeldVersion, ...]) -> None:
        """Replace the recorded versions by those that the peer reports."""
        self.peer_versions = {item.kind: item.version for item in held}


class LinkTable:
    """Table of the control streams of a node."""

    def __init__(self) -> None:
        self.links: dict[int, Link] = {}

    def find(self, link_id: int) -> Link | None:
        """Return a stream by its identifier, or None."""
        return self.links.get(link_id)

    def list_by_role(self, role: LinkRole) -> list[Link]:
        """Return all streams of one role."""
        return [link for link in self.links.values() if link.role is role]

    def find_by_role(self, role: LinkRole) -> Link | None:
        """Return the first stream of a role, or None."""
        for link in self.links.values():
            if link.role is role:
                return link
        return None

    def find_child(self, host_id: str) -> Link | None:
        """Return the stream of the child `host_id`, or None."""
        for link in self.list_by_role(LinkRole.CHILD):
            if link.host_id == host_id:
                return link
        return None

    def count_full_transfers(self) -> int:
        """Return the number of streams over which a full transfer is sent."""
        return sum(any(link.sending.values()) for link in self.links.values())
