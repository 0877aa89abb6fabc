"""State of the control streams of a node."""

from dataclasses import dataclass, field
from enum import Enum

from foxtailway.distribution.assembly import UpdateAssembly
from foxtailway.distribution.message import HeldVersion, PeerAddress
from foxtailway.model.bundle import BundleKind
from foxtailway.model.version import Version, VersionOrder, compare_versions

__all__ = ["Link", "LinkRole", "LinkTable"]


class LinkRole(Enum):
    """What a stream is to the node.

    A ``TRIAL`` is a stream to a possible parent that was not chosen yet, a
    ``PROBE`` one that only asks for the peer's versions, and a ``INBOUND_PROBE`` one
    opened by a node that probes this one.
    """

    PARENT = "parent"
    TRIAL = "trial"
    PROBE = "probe"
    CHILD = "child"
    INBOUND_PROBE = "guest"


@dataclass(slots=True, kw_only=True)
class Link:
    """Hold the state of one stream.

    Parameters
    ----------
    link_id : int
        Identifier of the stream within the node.
    role : LinkRole
        What the stream is to the node.
    target : PeerAddress or None
        Dialed address; None for accepted streams.
    host_id : str or None
        Host at the other end, once known.
    zone : str
        Zone of a node that opened the stream; empty for dialed streams.
    listen_address : PeerAddress or None
        Mesh listener of a node that opened the stream.
    is_established : bool
        Whether the hello was welcomed.
    opened_s, last_received_s, last_sent_s : float
        Times of the opening, of the last message received and of the last one
        sent, in seconds.
    peer_versions : dict of BundleKind to Version
        Versions that the other side holds or was sent.
    is_preferred : bool
        Whether the node is the preferred parent of the child at the other end.
    staged : frozenset of bytes
        Digests of documents that the other side staged.
    sending : dict of BundleKind to bool
        Kinds of the updates under way, and whether they are full transfers.
    assemblies : dict of BundleKind to UpdateAssembly
        Updates that are being received.
    unusable_update : tuple of Version and bytes, or None
        Last received update whose base is not known here.
    n_held_reports : int
        Reports of unusable updates that the other side sent.
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
        """Return the name of the other side for failures."""
        return self.host_id or str(self.target)

    @property
    def is_dialed(self) -> bool:
        """Tell whether this node opened the stream."""
        return self.target is not None

    @property
    def can_exchange_updates(self) -> bool:
        """Tell whether versions are pushed over the stream."""
        return self.is_established and self.role in (
            LinkRole.PARENT,
            LinkRole.TRIAL,
            LinkRole.CHILD,
        )

    def record_peer_version(self, kind: BundleKind, version: Version) -> None:
        """Note that the other side holds `version`, or a newer one."""
        order = compare_versions(held=self.peer_versions.get(kind), offered=version)
        if order is VersionOrder.NEWER:
            self.peer_versions[kind] = version

    def replace_peer_versions(self, held: tuple[HeldVersion, ...]) -> None:
        """Note exactly what the other side holds."""
        self.peer_versions = {item.kind: item.version for item in held}


class LinkTable:
    """Hold all streams of a node."""

    def __init__(self) -> None:
        self.links: dict[int, Link] = {}

    def find(self, link_id: int) -> Link | None:
        """Return a stream by its identifier."""
        return self.links.get(link_id)

    def list_by_role(self, role: LinkRole) -> list[Link]:
        """Return all streams of one role."""
        return [link for link in self.links.values() if link.role is role]

    def find_by_role(self, role: LinkRole) -> Link | None:
        """Return the stream of a role that at most one stream has."""
        for link in self.links.values():
            if link.role is role:
                return link
        return None

    def find_child(self, host_id: str) -> Link | None:
        """Return the stream of the child `host_id`."""
        for link in self.list_by_role(LinkRole.CHILD):
            if link.host_id == host_id:
                return link
        return None

    def count_full_transfers(self) -> int:
        """Return the number of streams with a full transfer under way."""
        return sum(any(link.sending.values()) for link in self.links.values())
