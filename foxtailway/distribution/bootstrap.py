"""Start of a node that holds nothing."""

from foxtailway.distribution.message import HeldVersion
from foxtailway.model.bundle import Bundle, BundleKind
from foxtailway.model.version import Version, VersionOrder, compare_versions

__all__ = ["Bootstrap"]


class Bootstrap:
    """Hold bundles back until the newest version around the node is known.

    A restarted node remembers nothing. It asks several peers which versions
    they hold and applies nothing that is older than the newest version named
    by a peer that answered before the deadline. When every peer answered, it
    goes on as soon as it has that version; "nothing held" and "unreachable"
    are answers. At the deadline it takes the newest version it received. A
    version held only by nodes that were not asked, or did not answer in time,
    can therefore be newer than the one applied first.

    Parameters
    ----------
    deadline_s : float
        Time at which the node stops waiting, in seconds.
    """

    def __init__(self, *, deadline_s: float) -> None:
        self.deadline_s = deadline_s
        self.pending: set[int] = set()
        self.min_versions: dict[BundleKind, Version] = {}
        self.received: dict[BundleKind, tuple[Bundle, str]] = {}
        self.is_over = False

    def add_probe(self, link_id: int) -> None:
        """Note that a peer was asked over a stream."""
        self.pending.add(link_id)

    def record_answer(self, link_id: int, held: tuple[HeldVersion, ...] = ()) -> bool:
        """Note an answer; return whether the peer holds the newest version."""
        self.pending.discard(link_id)
        is_newest = False
        for item in held:
            floor = self.min_versions.get(item.kind)
            order = compare_versions(held=floor, offered=item.version)
            if order is VersionOrder.NEWER:
                self.min_versions[item.kind] = item.version
                is_newest = True
        return is_newest

    def hold_back(self, bundle: Bundle, *, delivered_by: str) -> None:
        """Keep a bundle that must not be offered yet."""
        known = self.received.get(bundle.kind)
        held = known[0].version if known else None
        order = compare_versions(held=held, offered=bundle.version)
        if order is VersionOrder.NEWER:
            self.received[bundle.kind] = (bundle, delivered_by)

    def release(self, *, now: float) -> list[tuple[Bundle, str]]:
        """Return the bundles that may be offered, and end when all may."""
        if now >= self.deadline_s:
            self.min_versions.clear()
            self.pending.clear()
        if self.pending or any(
            not self.is_newest_received(kind) for kind in self.min_versions
        ):
            return []
        self.is_over = True
        released = list(self.received.values())
        self.received.clear()
        return released

    def is_newest_received(self, kind: BundleKind) -> bool:
        """Tell whether the newest known version of a kind was received."""
        received = self.received.get(kind)
        if received is None:
            return False
        order = compare_versions(
            held=received[0].version, offered=self.min_versions[kind]
        )
        return order is not VersionOrder.NEWER
