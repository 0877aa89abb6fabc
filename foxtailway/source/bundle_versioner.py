"""Versions of the bundles that a collector returns."""

from collections.abc import Callable

from expression import Error, Ok, Result

from foxtailway.common.failure import Failure, FailureKind, Step
from foxtailway.model.bundle import Bundle, BundleKind, make_bundle
from foxtailway.model.version import Version, VersionOrder, compare_versions
from foxtailway.source.document_set import DocumentSet, choose_revision

__all__ = ["BundleVersioner"]

PLATFORM_PEER = "platform"


class BundleVersioner:
    """Assign versions to sets of documents and record the versions returned.

    Parameters
    ----------
    read_generation : callable
        Function from the content of a base file to its generation.
    held_version : callable or None
        Function from a kind to the newest version that the node holds, or None.

    Attributes
    ----------
    generation : int or None
        Generation of the last valid base file; None before the first one is read.
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

    def find_held_version(self, kind: BundleKind) -> Version | None:
        """Return the version that the node holds; None if unknown."""
        return self.held_version(kind) if self.held_version is not None else None

    def find_known_version(self, kind: BundleKind) -> Version | None:
        """Return the version to compare with that of an unchanged set."""
        if self.held_version is not None:
            return self.held_version(kind)
        return self.newest_versions.get(kind)

    def update_generation(self, base_content: bytes | None) -> bool:
        """Adopt the generation of a base file; return whether it changed.

        An invalid base file does not change the generation, so that its bundle
        gets a version, is delivered and is rejected like any invalid version.

        Parameters
        ----------
        base_content : bytes or None
            Content of the base file; None if the platform has none.

        Returns
        -------
        bool
            False if there was no generation before.
        """
        known_generation = self.generation
        if known_generation is None:
            held = self.find_held_version(BundleKind.CONFIG)
            self.generation = held.generation if held is not None else 0
        if base_content is not None:
            generation = self.read_generation(base_content)
            if generation.is_ok():
                self.generation = generation.ok
        return known_generation not in (None, self.generation)

    def build_bundle(self, kind: BundleKind, document_set: DocumentSet) -> Bundle:
        """Return the bundle of a set, with the revision that identifies it."""
        documents = [item.document for item in document_set.documents.values()]
        generation = self.generation or 0
        bundle = make_bundle(
            kind=kind,
            generation=generation,
            revision=document_set.revision,
            documents=documents,
        )
        revision = choose_revision(
            document_set, collected=bundle.version, held=self.find_held_version(kind)
        )
        if revision == document_set.revision:
            return bundle
        return make_bundle(
            kind=kind, generation=generation, revision=revision, documents=documents
        )

    def record_returned(self, bundle: Bundle) -> Bundle:
        """Record the version of a bundle that is returned, and return the bundle."""
        kind = bundle.kind
        self.last_versions[kind] = bundle.version
        newest = self.newest_versions.get(kind)
        order = compare_versions(held=newest, offered=bundle.version)
        if order is VersionOrder.NEWER:
            self.newest_versions[kind] = bundle.version
        return bundle

    def return_if_changed(self, bundle: Bundle) -> Result[Bundle | None, Failure]:
        """Return the bundle of a collected set unless the last one was equal.

        See `confirm` for an equal bundle.
        """
        if bundle.version == self.last_versions.get(bundle.kind):
            return self.confirm(bundle)
        return Ok(self.record_returned(bundle))

    def confirm(self, bundle: Bundle) -> Result[Bundle | None, Failure]:
        """Compare the bundle of an unchanged set with the known version.

        Parameters
        ----------
        bundle : Bundle
            Bundle of the unchanged set.

        Returns
        -------
        Result
            None if the platform confirms the known version; the bundle if its
            version has changed; a failure of kind ``STALE_VERSION`` if the
            platform serves an older or conflicting version.
        """
        known_version = self.find_known_version(bundle.kind)
        order = compare_versions(held=known_version, offered=bundle.version)
        if order is VersionOrder.SAME:
            return Ok(None)
        if bundle.version != self.last_versions.get(bundle.kind):
            return Ok(self.record_returned(bundle))
        if order is VersionOrder.NEWER:
            return Ok(None)
        detail = (
            f"platform serves {bundle.version}, which does not replace {known_version}"
        )
        return Error(
            Failure(
                step=Step.SOURCE_READ,
                kind=FailureKind.STALE_VERSION,
                peer=PLATFORM_PEER,
                detail=detail,
            )
        )
