"""Messages of the control protocol, by which nodes distribute versions."""

from dataclasses import dataclass
from enum import Enum

from foxtailway.model.bundle import BundleKind
from foxtailway.model.version import Version

__all__ = [
    "CONTROL_MESSAGE_TYPES",
    "PROTOCOL_VERSION",
    "Confirmation",
    "ControlGoAway",
    "ControlHello",
    "ControlHelloAck",
    "EncodedDocument",
    "Encoding",
    "Heartbeat",
    "HeldReport",
    "HeldVersion",
    "PeerAddress",
    "Purpose",
    "RefusedReason",
    "SubscriptionRefused",
    "UpdatePart",
]

# Version of the control protocol; nodes refuse peers with another one.
PROTOCOL_VERSION = 1


class Purpose(Enum):
    """What the node that dials requests: updates, or only an answer."""

    SUBSCRIBE = "feed"
    PROBE = "probe"


class RefusedReason(Enum):
    """Reason for which a hello was refused."""

    FULL = "full"
    BUSY = "busy"
    LOOP = "loop"
    UNCONFIRMED = "unconfirmed"
    REMOTE = "remote"
    STOPPING = "stopping"
    WRONG_MESH = "wrong_mesh"
    WRONG_PROTOCOL = "wrong_protocol"


class Encoding(Enum):
    """How the content of a document is sent.

    ``FULL`` content is compressed on its own, ``PATCH`` content with the
    document of the same key in the base bundle as dictionary. ``STAGED``
    documents carry no content, since the receiver staged them earlier.
    """

    FULL = "full"
    PATCH = "patch"
    STAGED = "staged"


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerAddress:
    """Address of the mesh listener of a node; `host_id` is None for seeds."""

    host_id: str | None
    address: str
    port: int

    def __str__(self) -> str:
        """Return the host identifier, or ``address:port`` without one."""
        return self.host_id or f"{self.address}:{self.port}"


@dataclass(frozen=True, slots=True, kw_only=True)
class HeldVersion:
    """Version of one kind that a node holds."""

    kind: BundleKind
    version: Version


@dataclass(frozen=True, slots=True, kw_only=True)
class Confirmation:
    """Age of the last confirmation of the sender's versions by the platform.

    Parameters
    ----------
    age_ms : int or None
        Age of the confirmation, in milliseconds; None when there is none.
    n_hops : int
        Nodes between the sender and the platform.
    """

    age_ms: int | None
    n_hops: int


@dataclass(frozen=True, slots=True, kw_only=True)
class ControlHello:
    """Open a control stream; always its first message.

    Parameters
    ----------
    protocol_version : int
        Version of the control protocol of the sender.
    mesh, host_id, zone : str
        Identity of the sender.
    address : str
        IP address of the sender's mesh listener.
    port : int
        TCP port of the sender's mesh listener.
    purpose : Purpose
        Whether the sender requests updates or only an answer.
    is_relay : bool
        Whether other nodes prefer the sender as their parent.
    is_preferred : bool
        Whether the receiver is the sender's preferred parent.
    held : tuple of HeldVersion
        Versions held by the sender.
    staged : tuple of bytes
        Digests of documents staged from interrupted transfers.
    """

    protocol_version: int
    mesh: str
    host_id: str
    zone: str
    address: str
    port: int
    purpose: Purpose
    is_relay: bool
    is_preferred: bool
    held: tuple[HeldVersion, ...]
    staged: tuple[bytes, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class ControlHelloAck:
    """Acknowledge a hello, with the versions that the sender holds."""

    host_id: str
    held: tuple[HeldVersion, ...]
    confirmation: Confirmation


@dataclass(frozen=True, slots=True, kw_only=True)
class SubscriptionRefused:
    """Refuse a hello; the sender then closes the stream.

    Parameters
    ----------
    reason : RefusedReason
        Reason for the refusal.
    retry_after_s : float
        Time after which the same node may be dialed again, in seconds.
    alternates : tuple of PeerAddress
        Other nodes that may accept the hello.
    """

    reason: RefusedReason
    retry_after_s: float
    alternates: tuple[PeerAddress, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class EncodedDocument:
    """One document of an update.

    Parameters
    ----------
    key : str
        Key of the document.
    encoding : Encoding
        How `content` is encoded.
    digest : bytes
        Digest of the decoded content; empty for ``PATCH``, where the digest
        of the bundle covers the content.
    content : bytes
        Encoded content.
    """

    key: str
    encoding: Encoding
    digest: bytes
    content: bytes

    def __repr__(self) -> str:
        """Return key and size without the content, which may be a secret."""
        return f"EncodedDocument(key={self.key!r}, n_bytes={len(self.content)})"


@dataclass(frozen=True, slots=True, kw_only=True)
class UpdatePart:
    """Some of the changed documents of one version.

    An update is complete when `n_documents` distinct documents were received.

    Parameters
    ----------
    kind : BundleKind
        Sequence of versions to which the version belongs.
    version : Version
        Version after the update.
    base_digest : bytes or None
        Digest of the version to which the update applies; None when the update
        carries every document.
    removed : tuple of str
        Keys of documents of the base that the version does not contain.
    n_documents : int
        Number of documents in all parts of the update.
    documents : tuple of EncodedDocument
        Documents of this part.
    confirmation : Confirmation
        Last confirmation that the sender knows.
    """

    kind: BundleKind
    version: Version
    base_digest: bytes | None
    removed: tuple[str, ...]
    n_documents: int
    documents: tuple[EncodedDocument, ...]
    confirmation: Confirmation


@dataclass(frozen=True, slots=True, kw_only=True)
class HeldReport:
    """Versions that can serve as base of an update to the sender.

    Sent after an update whose base the sender does not hold.
    """

    held: tuple[HeldVersion, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class Heartbeat:
    """Show that the sender is alive, and its last confirmation."""

    confirmation: Confirmation


@dataclass(frozen=True, slots=True, kw_only=True)
class ControlGoAway:
    """Announce that the sender serves the stream no longer and closes it."""

    alternates: tuple[PeerAddress, ...]


CONTROL_MESSAGE_TYPES: tuple[type, ...] = (
    ControlHello,
    ControlHelloAck,
    SubscriptionRefused,
    UpdatePart,
    HeldReport,
    Heartbeat,
    ControlGoAway,
)
