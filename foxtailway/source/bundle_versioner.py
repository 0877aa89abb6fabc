"""Names of the bundles that a collector returns."""

from collections.abc import Callable

from expression import Error, Ok, Result

from foxtailway.common.failure import Failure, FailureKind, Step
from foxtailway.model.bundle import Bundle, BundleKind, make_bundle
from foxtailway.model.version import Version, VersionOrder, compare_versions
from foxtailway.source.document_set import DocumentSet, choose_revision

__all__ = ["BundleNamer"]

PLATFORM_PEER = "platform"


class BundleNamer:
    """Name sets of documents and remember the names given.

    Parameters
    ----------
    read_generation : callable
        Function that returns the generation named in the base file.
    held_version : callable or None
        Function that returns the newest version held by the node.

    Attributes
    ----------
    generation : int or None
        Generation of the last known base file.
    """

    def __init__(
        self,
        *,
        read_generation: Callable[[bytes], Result[int, Failure]],
        held_version: Callable[[BundleKind], Version | None] | None,
    ) -> None:
        self.read_generation = read_generation
        self.held_version = held_version
        self.generation: int | None = None
        self.last_versions: dict[BundleKind, Version] = {}
        self.newest_versions: dict[BundleKind, Version] = {}

    def find_held(self, kind: BundleKind) -> Version | None:
        """Return the version held by the node, if that can be known."""
        return self.held_version(kind) if self.held_version is not None else None

    def find_known(self, kind: BundleKind) -> Version | None:
        """Return the version against which unchanged listings are compared."""
        if self.held_version is not None:
            return self.held_version(kind)
        return self.newest_versions.get(kind)

    def update_generation(self, base_content: bytes | None) -> bool:
        """Take the generation of a base file and tell whether it changed.

        An unreadable base file leaves the generation as it is, so that its
        bundle is named, delivered and rejected like any other bad version.
        """
        known = self.generation
        if known is None:
            held = self.find_held(BundleKind.CONFIG)
            self.generation = held.generation if held is not None else 0
        if base_content is not None:
            generation = self.read_generation(base_content)
            if generation.is_ok():
                self.generation = generation.ok
        return known not in (None, self.generation)

    def build(self, kind: BundleKind, kept: DocumentSet) -> Bundle:
        """Return the bundle of a set under its true name."""
        documents = [item.document for item in kept.documents.values()]
        generation = self.generation or 0
        bundle = make_bundle(
            kind=kind,
            generation=generation,
            revision=kept.revision,
            documents=documents,
        )
        revision = choose_revision(
            kept, collected=bundle.version, held=self.find_held(kind)
        )
        if revision == kept.revision:
            return bundle
        return make_bundle(
            kind=kind, generation=generation, revision=revision, documents=documents
        )

    def publish(self, bundle: Bundle) -> Bundle:
        """Note the version of a bundle that is returned."""
        kind = bundle.kind
        self.last_versions[kind] = bundle.version
        newest = self.newest_versions.get(kind)
        order = compare_versions(held=newest, offered=bundle.version)
        if order is VersionOrder.NEWER:
            self.newest_versions[kind] = bundle.version
        return bundle

    def offer(self, bundle: Bundle) -> Result[Bundle | None, Failure]:
        """Return the bundle of a collected set unless it was returned last."""
        if bundle.version == self.last_versions.get(bundle.kind):
            return self.confirm(bundle)
        return Ok(self.publish(bundle))

    def confirm(self, bundle: Bundle) -> Result[Bundle | None, Failure]:
        """Return what an unchanged listing says about the known versions.

        Parameters
        ----------
        bundle : Bundle
            Bundle of the unchanged set.

        Returns
        -------
        Result
            None when the platform confirms the known version, the bundle when
            it has a new name, a failure when the platform shows an older
            version than the known one.
        """
        known = self.find_known(bundle.kind)
        order = compare_versions(held=known, offered=bundle.version)
        if order is VersionOrder.SAME:
            return Ok(None)
        if bundle.version != self.last_versions.get(bundle.kind):
            return Ok(self.publish(bundle))
        if order is VersionOrder.NEWER:
            return Ok(None)
        detail = f"platform shows {bundle.version}, which does not replace {known}"
        return Error(
            Failure(
                step=Step.SOURCE_READ,
                kind=FailureKind.STALE_VERSION,
                peer=PLATFORM_PEER,
                detail=detail,
            )
        )
