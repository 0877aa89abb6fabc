"""Messages that nodes exchange to distribute versions."""

from dataclasses import dataclass
from enum import Enum

from foxtailway.model.bundle import BundleKind
from foxtailway.model.version import Version

__all__ = [
    "CONTROL_MESSAGE_TYPES",
    "PROTOCOL_VERSION",
    "Confirmation",
    "ControlHello",
    "EncodedDocument",
    "Encoding",
    "Goodbye",
    "Heartbeat",
    "HeldReport",
    "HeldVersion",
    "PeerAddress",
    "Purpose",
    "RefusedReason",
    "SubscriptionRefused",
    "UpdatePart",
    "Welcome",
]

PROTOCOL_VERSION = 1


class Purpose(Enum):
    """What the dialing node asks of the other one."""

    SUBSCRIBE = "feed"
    PROBE = "probe"


class RefusedReason(Enum):
    """Reason for which a hello was not welcomed."""

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

    ``FULL`` is compressed on its own, ``PATCH`` is compressed with the
    document of the same key in the base bundle as dictionary, and ``STAGED``
    sends nothing since the receiver staged the document earlier.
    """

    FULL = "full"
    PATCH = "patch"
    STAGED = "staged"


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerAddress:
    """Name a node's mesh listener; seeds have no known host identifier."""

    host_id: str | None
    address: str
    port: int

    def __str__(self) -> str:
        """Return the host identifier, or ``address:port`` without one."""
        return self.host_id or f"{self.address}:{self.port}"


@dataclass(frozen=True, slots=True, kw_only=True)
class HeldVersion:
    """Name the version of one kind that a node holds."""

    kind: BundleKind
    version: Version


@dataclass(frozen=True, slots=True, kw_only=True)
class Confirmation:
    """Tell how long ago the platform confirmed the sender's versions.

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
        Version of the protocol spoken by the sender.
    mesh, host_id, zone : str
        Identity of the sender.
    address : str
        IP address of the sender's mesh listener.
    port : int
        TCP port of the sender's mesh listener.
    purpose : Purpose
        Whether the sender wants updates or only an answer.
    is_relay : bool
        Whether other nodes depend on the sender.
    is_preferred : bool
        Whether the receiver is the sender's preferred parent.
    held : tuple of HeldVersion
        Versions held by the sender.
    staged : tuple of bytes
        Digests of documents kept from interrupted transfers.
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
class Welcome:
    """Accept a hello."""

    host_id: str
    held: tuple[HeldVersion, ...]
    confirmation: Confirmation


@dataclass(frozen=True, slots=True, kw_only=True)
class SubscriptionRefused:
    """Refuse a hello; the stream is closed afterwards.

    Parameters
    ----------
    reason : RefusedReason
        Why the hello was refused.
    retry_after_s : float
        Time after which the same node may be asked again, in seconds.
    alternates : tuple of PeerAddress
        Other nodes that may accept.
    """

    reason: RefusedReason
    retry_after_s: float
    alternates: tuple[PeerAddress, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class EncodedDocument:
    """Carry one document of an update.

    Parameters
    ----------
    key : str
        Key of the document.
    encoding : Encoding
        How `content` is encoded.
    digest : bytes
        Digest of the decoded content; empty for ``PATCH``, where the digest
        of the bundle covers it.
    content : bytes
        Encoded content.
    """

    key: str
    encoding: Encoding
    digest: bytes
    content: bytes

    def __repr__(self) -> str:
        """Return key and size, never the content."""
        return f"EncodedDocument(key={self.key!r}, n_bytes={len(self.content)})"


@dataclass(frozen=True, slots=True, kw_only=True)
class UpdatePart:
    """Carry some of the changed documents of one version.

    An update is complete when `n_documents` distinct documents have arrived.

    Parameters
    ----------
    kind : BundleKind
        Sequence to which the version belongs.
    version : Version
        Version that the update leads to.
    base_digest : bytes or None
        Digest of the version that the update starts from; None when the update
        carries every document.
    removed : tuple of str
        Keys of the base that the version does not hold.
    n_documents : int
        Documents in all parts of the update.
    documents : tuple of EncodedDocument
        Documents of this part.
    confirmation : Confirmation
        Freshness of the sender.
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
    """Tell the peer which versions can serve as base of an update."""

    held: tuple[HeldVersion, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class Heartbeat:
    """Show that the sender is alive, and how fresh it is."""

    confirmation: Confirmation


@dataclass(frozen=True, slots=True, kw_only=True)
class Goodbye:
    """Announce that the sender leaves; the stream is closed afterwards."""

    alternates: tuple[PeerAddress, ...]


CONTROL_MESSAGE_TYPES: tuple[type, ...] = (
    ControlHello,
    Welcome,
    SubscriptionRefused,
    UpdatePart,
    HeldReport,
    Heartbeat,
    Goodbye,
)
