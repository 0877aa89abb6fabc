"""Delta encoding of documents against versions that the receiver holds."""

from collections import OrderedDict
from dataclasses import replace

from expression import Error, Ok, Result
from zstandard import (
    DICT_TYPE_RAWCONTENT,
    ZstdCompressionDict,
    ZstdCompressor,
    ZstdDecompressor,
    ZstdError,
    frame_content_size,
)

from foxtailway.common.failure import Failure, FailureKind, Step
from foxtailway.distribution.message import (
    Confirmation,
    EncodedDocument,
    Encoding,
    UpdatePart,
)
from foxtailway.model.bundle import Bundle, Document, make_document

__all__ = [
    "MAX_DOCUMENT_BYTES",
    "UpdateEncoder",
    "decode_document",
    "encode_document",
]

# Largest decoded content of a document; guards against decompression bombs.
MAX_DOCUMENT_BYTES = 1_048_576
# Encoded content after which a part of an update ends; a single document may exceed it.
MAX_PART_BYTES = 65_536
# Zstandard level of documents that are sent whole.
FULL_COMPRESSION_LEVEL = 3
# Zstandard level of documents that are sent as patches.
PATCH_COMPRESSION_LEVEL = 9
# Encoded updates that a node keeps for its children.
MAX_CACHED_UPDATES = 16
# Placeholder in cached parts; replaced by the current confirmation when they are sent.
NO_CONFIRMATION = Confirmation(age_ms=None, n_hops=0)


def encode_document(document: Document, *, base: Document | None) -> EncodedDocument:
    """Return a compressed document, as a patch when a base is given.

    Parameters
    ----------
    document : Document
        Document to send.
    base : Document or None
        Document of the same key that the receiver holds; its content is the
        compression dictionary.

    Returns
    -------
    EncodedDocument
        Document with encoding ``PATCH`` when a base is given, else ``FULL``.
    """
    if base is None:
        compressor = ZstdCompressor(level=FULL_COMPRESSION_LEVEL)
        return EncodedDocument(
            key=document.key,
            encoding=Encoding.FULL,
            digest=document.digest,
            content=compressor.compress(document.content),
        )
    compressor = ZstdCompressor(
        level=PATCH_COMPRESSION_LEVEL,
        dict_data=make_dictionary(base),
        write_dict_id=False,
    )
    return EncodedDocument(
        key=document.key,
        encoding=Encoding.PATCH,
        digest=b"",
        content=compressor.compress(document.content),
    )


def decode_document(
    encoded: EncodedDocument, *, base: Document | None, peer: str
) -> Result[Document, Failure]:
    """Return a decoded document after checking its size and digest.

    The digest of a ``PATCH`` is not checked here but by that of the bundle.

    Parameters
    ----------
    encoded : EncodedDocument
        Received document whose encoding is not ``STAGED``.
    base : Document or None
        Document of the same key in the base bundle; required for a ``PATCH``.
    peer : str
        Sender, named in the failure.

    Returns
    -------
    Result
        The document, or a failure of step ``VERIFY``.
    """

    def fail(kind: FailureKind, detail: str) -> Result[Document, Failure]:
        return Error(Failure(step=Step.VERIFY, kind=kind, peer=peer, detail=detail))

    dictionary = None
    if encoded.encoding is Encoding.PATCH:
        if base is None:
            return fail(
                FailureKind.INVALID, f"{encoded.key}: patch requires a base document"
            )
        dictionary = make_dictionary(base)
    try:
        n_bytes = frame_content_size(encoded.content)
        if not 0 <= n_bytes <= MAX_DOCUMENT_BYTES:
            return fail(
                FailureKind.TOO_LARGE,
                f"{encoded.key}: {n_bytes} bytes, outside the allowed range",
            )
        content = ZstdDecompressor(dict_data=dictionary).decompress(encoded.content)
    except ZstdError as error:
        return fail(FailureKind.INVALID, f"{encoded.key}: {error}")
    document = make_document(key=encoded.key, content=content)
    if encoded.encoding is Encoding.FULL and document.digest != encoded.digest:
        return fail(FailureKind.DIGEST_MISMATCH, encoded.key)
    return Ok(document)


def make_dictionary(base: Document) -> ZstdCompressionDict:
    """Return a compression dictionary with the content of a document."""
    return ZstdCompressionDict(base.content, dict_type=DICT_TYPE_RAWCONTENT)


class UpdateEncoder:
    """Encode updates and cache the most recent ones.

    A relay forwards received parts to its children without compressing them
    again.

    Attributes
    ----------
    n_encoded : int
        Updates that were compressed because they were not cached.
    """

    def __init__(self) -> None:
        self.updates: OrderedDict[tuple, tuple[UpdatePart, ...]] = OrderedDict()
        self.n_encoded = 0

    def encode(
        self, bundle: Bundle, *, base: Bundle | None, staged: frozenset[bytes]
    ) -> tuple[UpdatePart, ...]:
        """Return the parts that lead from `base` to `bundle`.

        Parameters
        ----------
        bundle : Bundle
            Bundle to send.
        base : Bundle or None
            Bundle that the receiver holds; None to send every document.
        staged : frozenset of bytes
            Digests of documents that the receiver staged.

        Returns
        -------
        tuple of UpdatePart
            At least one part, with `NO_CONFIRMATION` or that of a received part.
        """
        base_digest = base.version.digest if base else None
        key = (bundle.kind, base_digest, bundle.version)
        parts = self.updates.get(key)
        if parts is None:
            self.n_encoded += 1
            parts = encode_update(bundle, base=base)
        self.cache(key, parts)
        if not staged:
            return parts
        return tuple(omit_staged(part, staged) for part in parts)

    def store(self, parts: tuple[UpdatePart, ...]) -> None:
        """Cache the parts of a received update unless the update is cached."""
        first = parts[0]
        key = (first.kind, first.base_digest, first.version)
        if key not in self.updates:
            self.cache(key, parts)

    def cache(self, key: tuple, parts: tuple[UpdatePart, ...]) -> None:
        """Mark an update as most recently used and evict beyond the limit."""
        self.updates[key] = parts
        self.updates.move_to_end(key)
        while len(self.updates) > MAX_CACHED_UPDATES:
            self.updates.popitem(last=False)


def encode_update(bundle: Bundle, *, base: Bundle | None) -> tuple[UpdatePart, ...]:
    """Return the parts of an update, with the documents that differ from `base`."""
    base_documents = {}
    if base is not None:
        base_documents = {document.key: document for document in base.documents}
    keys = {document.key for document in bundle.documents}
    encoded = []
    for document in bundle.documents:
        known = base_documents.get(document.key)
        if known is None or known.digest != document.digest:
            encoded.append(encode_document(document, base=known))
    removed = tuple(key for key in base_documents if key not in keys)
    return tuple(
        UpdatePart(
            kind=bundle.kind,
            version=bundle.version,
            base_digest=base.version.digest if base else None,
            removed=removed,
            n_documents=len(encoded),
            documents=tuple(group),
            confirmation=NO_CONFIRMATION,
        )
        for group in group_documents(encoded)
    )


def group_documents(encoded: list[EncodedDocument]) -> list[list[EncodedDocument]]:
    """Return the documents in groups of at most `MAX_PART_BYTES`.

    A larger document is a group of its own. Without documents there is one empty
    group, since an update has at least one part.
    """
    groups: list[list[EncodedDocument]] = [[]]
    n_bytes = 0
    for document in encoded:
        if groups[-1] and n_bytes + len(document.content) > MAX_PART_BYTES:
            groups.append([])
            n_bytes = 0
        groups[-1].append(document)
        n_bytes += len(document.content)
    return groups


def omit_staged(part: UpdatePart, staged: frozenset[bytes]) -> UpdatePart:
    """Return a part without the content of documents that the receiver staged."""
    documents = tuple(
        replace(document, encoding=Encoding.STAGED, content=b"")
        if document.digest in staged
        else document
        for document in part.documents
    )
    return replace(part, documents=documents)
