"""Assembly of received update parts into verified bundles."""

from collections import OrderedDict
from dataclasses import replace

from expression import Error, Ok, Result

from foxtailway.common.failure import Failure, FailureKind, Step
from foxtailway.distribution.delta import decode_document
from foxtailway.distribution.message import EncodedDocument, Encoding, UpdatePart
from foxtailway.model.bundle import Bundle, Document, make_bundle

__all__ = ["Staging", "UpdateAssembly"]

# Largest total content of staged documents.
MAX_STAGED_BYTES = 8_388_608
# Largest encoded and decoded content of one update, taken together.
MAX_BUNDLE_BYTES = 33_554_432
# Largest number of documents that an update may announce.
MAX_BUNDLE_DOCUMENTS = 4_096


class Staging:
    """Cache verified documents so that an interrupted transfer can resume.

    The cache holds at most `MAX_STAGED_BYTES`; the oldest documents are dropped.
    """

    def __init__(self) -> None:
        self.documents: OrderedDict[bytes, Document] = OrderedDict()
        self.n_bytes = 0

    def add(self, document: Document) -> None:
        """Add a document and drop the oldest ones beyond the limit."""
        if document.digest in self.documents:
            return
        self.documents[document.digest] = document
        self.n_bytes += len(document.content)
        while self.n_bytes > MAX_STAGED_BYTES:
            _, dropped = self.documents.popitem(last=False)
            self.n_bytes -= len(dropped.content)

    def clear(self) -> None:
        """Drop all documents."""
        self.documents.clear()
        self.n_bytes = 0


class UpdateAssembly:
    """Decode the parts of one update and build the bundle it leads to.

    Parameters
    ----------
    first_part : UpdatePart
        First received part of the update.
    base : Bundle or None
        Bundle to which the update applies; None if it carries all documents.
    peer : str
        Sender, named in failures.
    """

    def __init__(
        self, first_part: UpdatePart, *, base: Bundle | None, peer: str
    ) -> None:
        self.version = first_part.version
        self.base_digest = first_part.base_digest
        self.first_part = first_part
        self.base = base
        self.peer = peer
        self.parts: list[UpdatePart] = []
        self.documents: dict[str, Document] = {}
        self.n_bytes = 0

    def matches(self, part: UpdatePart) -> bool:
        """Return whether `part` belongs to this update."""
        return (
            part.version == self.version
            and part.base_digest == self.base_digest
            and part.n_documents == self.first_part.n_documents
        )

    def add(self, part: UpdatePart, staging: Staging) -> Result[Bundle | None, Failure]:
        """Add a part and return the bundle once it is complete and verified.

        Parameters
        ----------
        part : UpdatePart
            Received part that matches this update.
        staging : Staging
            Source of staged documents, and store of those received in full.

        Returns
        -------
        Result
            The bundle, None while documents are missing, or a failure of step
            ``VERIFY``, after which the assembly must be dropped.
        """
        if not 0 <= part.n_documents <= MAX_BUNDLE_DOCUMENTS:
            return self.fail(
                FailureKind.TOO_LARGE,
                f"{part.n_documents} documents announced, outside the allowed range",
            )
        if part.n_documents and not part.documents:
            return self.fail(
                FailureKind.INVALID, "part of a non-empty update carries no documents"
            )
        for encoded in part.documents:
            if encoded.key in self.documents:
                return self.fail(
                    FailureKind.INVALID, f"{encoded.key}: document is sent twice"
                )
            decoded = self.decode(encoded, staging)
            if decoded.is_error():
                return Error(decoded.error)
            self.documents[encoded.key] = decoded.ok
            self.n_bytes += len(encoded.content) + len(decoded.ok.content)
            if self.n_bytes > MAX_BUNDLE_BYTES:
                return self.fail(
                    FailureKind.TOO_LARGE,
                    f"{self.n_bytes} bytes exceed the limit of an update",
                )
            if encoded.encoding is Encoding.FULL:
                staging.add(decoded.ok)
        self.parts.append(part)
        if len(self.documents) > part.n_documents:
            return self.fail(
                FailureKind.INVALID,
                "update has more documents than announced",
            )
        if len(self.documents) < part.n_documents:
            return Ok(None)
        return self.build()

    def decode(
        self, encoded: EncodedDocument, staging: Staging
    ) -> Result[Document, Failure]:
        """Return the decoded document, taken from staging if it was not resent."""
        if encoded.encoding is Encoding.STAGED:
            staged = staging.documents.get(encoded.digest)
            if staged is None:
                return self.fail(
                    FailureKind.INVALID, f"{encoded.key}: document is not staged"
                )
            return Ok(replace(staged, key=encoded.key))
        base = self.base.find(encoded.key) if self.base else None
        return decode_document(encoded, base=base, peer=self.peer)

    def build(self) -> Result[Bundle | None, Failure]:
        """Apply the changes to the base and verify the digest of the bundle."""
        documents = {}
        if self.base is not None:
            documents = {document.key: document for document in self.base.documents}
        for key in self.first_part.removed:
            documents.pop(key, None)
        documents.update(self.documents)
        bundle = make_bundle(
            kind=self.first_part.kind,
            generation=self.version.generation,
            revision=self.version.revision,
            documents=documents.values(),
        )
        if bundle.version != self.version:
            return self.fail(
                FailureKind.DIGEST_MISMATCH,
                f"content does not match version {self.version}",
            )
        return Ok(bundle)

    def fail(self, kind: FailureKind, detail: str) -> Result:
        """Return a failure of step ``VERIFY``."""
        return Error(
            Failure(step=Step.VERIFY, kind=kind, peer=self.peer, detail=detail)
        )
