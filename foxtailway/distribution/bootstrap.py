"""Selection of the first versions of a restarted node."""

from foxtailway.distribution.message import HeldVersion
from foxtailway.model.bundle import Bundle, BundleKind
from foxtailway.model.version import Version, VersionOrder, compare_versions

__all__ = ["Bootstrap"]


class Bootstrap:
    """Hold bundles back until the newest version of the probed peers is known.

    A node stores no versions across a restart. It probes several peers for the
    versions they hold and applies nothing older than the newest version that a
    peer reported before the deadline. Once every peer has answered, the bundles
    are released as soon as that version has been received; a peer that holds
    nothing or cannot be reached counts as having answered. At the deadline the
    newest received version is released. A version that is held only by nodes
    that were not probed, or did not answer in time, can therefore be newer than
    the one applied first.

    Parameters
    ----------
    deadline_s : float
        Monotonic time at which the node stops waiting, in seconds.
    """

    def __init__(self, *, deadline_s: float) -> None:
        self.deadline_s = deadline_s
        self.pending: set[int] = set()
        self.min_versions: dict[BundleKind, Version] = {}
        self.received: dict[BundleKind, tuple[Bundle, str]] = {}
        self.is_over = False

    def add_probe(self, link_id: int) -> None:
        """Record that a peer is probed over a stream."""
        self.pending.add(link_id)

    def record_answer(self, link_id: int, held: tuple[HeldVersion, ...] = ()) -> bool:
        """Record an answer; return whether it raised a minimum version.

        Parameters
        ----------
        link_id : int
            Stream of the probe, answered or ended.
        held : tuple of HeldVersion
            Versions that the peer holds; empty if it did not answer.
        """
        self.pending.discard(link_id)
        is_newest = False
        for item in held:
            min_version = self.min_versions.get(item.kind)
            order = compare_versions(held=min_version, offered=item.version)
            if order is VersionOrder.NEWER:
                self.min_versions[item.kind] = item.version
                is_newest = True
        return is_newest

    def hold_back(self, bundle: Bundle, *, delivered_by: str) -> None:
        """Hold back a bundle unless a newer one of its kind is held back."""
        known = self.received.get(bundle.kind)
        held = known[0].version if known else None
        order = compare_versions(held=held, offered=bundle.version)
        if order is VersionOrder.NEWER:
            self.received[bundle.kind] = (bundle, delivered_by)

    def release(self, *, now: float) -> list[tuple[Bundle, str]]:
        """Return the bundles that may be offered now, and end the bootstrap then.

        Returns an empty list while answers or newer versions are awaited.
        """
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
        """Return whether the minimum version of a kind was received."""
        received = self.received.get(kind)
        if received is None:
            return False
        order = compare_versions(
            held=received[0].version, offered=self.min_versions[kind]
        )
        return order is not VersionOrder.NEWER
