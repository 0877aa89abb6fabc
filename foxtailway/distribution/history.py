"""Versions that a node holds, held before or has rejected."""

from collections import OrderedDict, deque
from enum import Enum

from foxtailway.distribution.message import HeldVersion
from foxtailway.model.bundle import Bundle, BundleKind
from foxtailway.model.version import Version, VersionOrder, compare_versions

__all__ = ["VersionHistory", "VersionVerdict"]

# Default of the largest size of the documents kept beside the held bundle.
MAX_HISTORY_BYTES = 8_388_608
# Digests of rejected versions that are remembered.
MAX_REJECTED_DIGESTS = 256


class VersionVerdict(Enum):
    """Result of comparing an offered version with those that a node knows."""

    NEWER = "newer"
    SAME = "same"
    OLDER = "older"
    CONFLICT = "conflict"
    REJECTED = "rejected"


class VersionHistory:
    """Hold the current version of one kind and recent ones as bases of deltas.

    Successive bundles share the documents that did not change, so only changed
    documents count toward the limit.

    Parameters
    ----------
    kind : BundleKind
        Sequence of versions.
    max_bytes : int, default=8388608
        Largest size of the documents kept beside the held bundle, in bytes.

    Attributes
    ----------
    held : Bundle or None
        Bundle that is in force.
    """

    def __init__(self, *, kind: BundleKind, max_bytes: int = MAX_HISTORY_BYTES) -> None:
        self.kind = kind
        self.max_bytes = max_bytes
        self.held: Bundle | None = None
        self.recent: deque[Bundle] = deque()
        self.sizes: deque[int] = deque()
        self.rejected: OrderedDict[bytes, None] = OrderedDict()

    @property
    def version(self) -> Version | None:
        """Return the held version."""
        return self.held.version if self.held else None

    def evaluate(self, version: Version) -> VersionVerdict:
        """Return how an offered version relates to the held and the rejected ones."""
        if version.digest in self.rejected:
            return VersionVerdict.REJECTED
        order = compare_versions(held=self.version, offered=version)
        return VersionVerdict(order.value)

    def accept(self, bundle: Bundle) -> None:
        """Make `bundle` the held bundle.

        Raises
        ------
        ValueError
            If the bundle is not newer than the held one.
        """
        order = compare_versions(held=self.version, offered=bundle.version)
        if order is not VersionOrder.NEWER:
            raise ValueError(f"{bundle.version} is not newer than {self.version}")
        self.held = bundle
        self.add_recent(bundle)

    def reject(self, bundle: Bundle) -> None:
        """Mark `bundle` as rejected, and keep it as a base of later updates."""
        self.rejected[bundle.version.digest] = None
        while len(self.rejected) > MAX_REJECTED_DIGESTS:
            self.rejected.popitem(last=False)
        self.add_recent(bundle)

    def add_recent(self, bundle: Bundle) -> None:
        """Add a bundle and drop the oldest ones beyond the size limit."""
        known = set()
        if self.recent:
            known = {document.digest for document in self.recent[-1].documents}
        n_bytes = sum(
            len(document.content)
            for document in bundle.documents
            if document.digest not in known
        )
        self.recent.append(bundle)
        self.sizes.append(n_bytes)
        while len(self.recent) > 1 and sum(self.sizes) - self.sizes[0] > self.max_bytes:
            self.recent.popleft()
            self.sizes.popleft()

    def find(self, digest: bytes | None) -> Bundle | None:
        """Return the kept bundle whose version has `digest`, or None."""
        for bundle in reversed(self.recent):
            if bundle.version.digest == digest:
                return bundle
        return None

    def list_held(self) -> tuple[HeldVersion, ...]:
        """Return the held version in the form used in messages, or nothing."""
        if self.held is None:
            return ()
        return (HeldVersion(kind=self.kind, version=self.held.version),)
