"""Sending of large request bodies to other sidecars."""

from collections.abc import Callable

from foxtailway.sidecar.body_buffer import Body
from foxtailway.sidecar.peer_message import PeerBodyPart

__all__ = ["MAX_INLINE_BODY_SIZE", "BodySender"]

# Largest body that is sent together with its request, in bytes. Larger ones wait for
# a grant, which takes a round trip.
MAX_INLINE_BODY_SIZE = 16_384


class BodySender:
    """Send one body in the parts that the receiver grants.

    A body of at most `MAX_INLINE_BODY_SIZE` is sent with its request, so that it is
    complete from the start.

    Parameters
    ----------
    call_id : int
        Identifier of the call on its stream.
    content : bytes or mmap
        Complete body.
    send : callable
        Sends a message to the receiver.
    """

    def __init__(
        self, *, call_id: int, content: Body, send: Callable[[object], None]
    ) -> None:
        self.call_id = call_id
        self.content = content
        self.send = send
        self.n_sent = len(content) if len(content) <= MAX_INLINE_BODY_SIZE else 0

    @property
    def is_complete(self) -> bool:
        """Whether all of the body was sent; before, the request can't have run."""
        return self.n_sent >= len(self.content)

    def send_part(self, n_bytes: int) -> None:
        """Send the next granted bytes."""
        part = self.content[self.n_sent : self.n_sent + n_bytes]
        self.n_sent += len(part)
        self.send(PeerBodyPart(call_id=self.call_id, content=part))
