"""Bundles: consistent sets of documents with one version."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from hashlib import blake2b

from foxtailway.model.version import Version

__all__ = [
    "BASE_KEY",
    "HOSTS_PREFIX",
    "OVERLAY_PREFIX",
    "SECRET_PREFIX",
    "Bundle",
    "BundleKind",
    "Document",
    "digest_content",
    "make_bundle",
    "make_document",
]

DIGEST_SIZE_BYTES = 16
BASE_KEY = "base"
OVERLAY_PREFIX = "overlay/"
SECRET_PREFIX = "secret/"
HOSTS_PREFIX = "hosts/"


class BundleKind(Enum):
    """Kind of a bundle; each kind has its own sequence of versions.

    ``CONFIG`` holds the keys ``base``, ``overlay/ZONE`` and ``secret/NAME``;
    ``HOSTS`` holds the keys ``hosts/ZONE``.
    """

    CONFIG = "config"
    HOSTS = "hosts"


@dataclass(frozen=True, slots=True, kw_only=True)
class Document:
    """Value of one key of the platform's store.

    Parameters
    ----------
    key : str
        Key without the prefix of the mesh, for example ``overlay/accra-a``.
    content : bytes
        Value, at most one megabyte.
    digest : bytes
        Digest of `content`, 16 bytes.
    """

    key: str
    content: bytes
    digest: bytes

    def __repr__(self) -> str:
        """Return key and size without the content, which may be a secret."""
        return f"Document(key={self.key!r}, n_bytes={len(self.content)})"


@dataclass(frozen=True, slots=True, kw_only=True)
class Bundle:
    """All documents of one version.

    Parameters
    ----------
    kind : BundleKind
        Kind of the documents.
    version : Version
        Version; its digest covers the keys and contents of all documents.
    documents : tuple of Document
        Documents in ascending order of their keys.
    """

    kind: BundleKind
    version: Version
    documents: tuple[Document, ...]

    def find(self, key: str) -> Document | None:
        """Return the document with key `key`, or None."""
        for document in self.documents:
            if document.key == key:
                return document
        return None


def digest_content(content: bytes) -> bytes:
    """Return the 16-byte BLAKE2b digest of `content`."""
    return blake2b(content, digest_size=DIGEST_SIZE_BYTES).digest()


def make_document(*, key: str, content: bytes) -> Document:
    """Return a document with its digest.

    Examples
    --------
    >>> make_document(key="base", content=b"[mesh]")
    Document(key='base', n_bytes=6)
    """
    return Document(key=key, content=content, digest=digest_content(content))


def make_bundle(
    *, kind: BundleKind, generation: int, revision: int, documents: Iterable[Document]
) -> Bundle:
    """Return a bundle whose version contains the digest of its documents.

    Parameters
    ----------
    kind : BundleKind
        Kind of the documents.
    generation : int
        Generation that the operators set in the base file.
    revision : int
        Revision of the platform's store.
    documents : iterable of Document
        Documents in any order, with distinct keys.

    Returns
    -------
    Bundle
        Bundle with its documents sorted by key.
    """
    ordered = tuple(sorted(documents, key=lambda document: document.key))
    digest = blake2b(digest_size=DIGEST_SIZE_BYTES)
    for document in ordered:
        digest.update(document.key.encode())
        digest.update(b"\0")
        digest.update(document.digest)
    version = Version(generation=generation, revision=revision, digest=digest.digest())
    return Bundle(kind=kind, version=version, documents=ordered)
