"""Receipt of large request bodies from other sidecars."""

import asyncio

from foxtailway.sidecar.body_buffer import Body, BodyBuffer
from foxtailway.sidecar.call import UpstreamCall
from foxtailway.sidecar.memory_account import MemoryShare
from foxtailway.sidecar.peer_message import PeerBodyGrant, PeerBodyPart
from foxtailway.sidecar.peer_stream import PeerStream
from foxtailway.traffic.transfer_queue import BodyTransfer, TransferQueue

__all__ = ["BodyReceiver"]


class IncomingBody:
    """Body that is being received.

    Parameters
    ----------
    stream : PeerStream
        Stream on which it arrives.
    call_id : int
        Identifier of its call on the stream.
    transfer : BodyTransfer
        State of the transfer.
    share : MemoryShare or None
        Share of the body, which is filled as it arrives.
    """

    def __init__(
        self,
        *,
        stream: PeerStream,
        call_id: int,
        transfer: BodyTransfer,
        share: MemoryShare | None,
    ) -> None:
        self.share = share
        self.stream = stream
        self.call_id = call_id
        self.transfer = transfer
        self.content = BodyBuffer(size=transfer.size)
        self.completed: asyncio.Future[bool] = (
            asyncio.get_running_loop().create_future()
        )

    def complete(self, is_complete: bool) -> None:
        """End the wait for the body, of which all bytes or none have arrived."""
        if not self.completed.done():
            self.completed.set_result(is_complete)


class BodyReceiver:
    """Receive bodies within the bandwidth of the host's link.

    Parameters
    ----------
    link_mbps : float
        Bandwidth of the link, in Mbit/s.

    Attributes
    ----------
    queue : TransferQueue
        Decides which body is sent next.
    """

    def __init__(self, *, link_mbps: float) -> None:
        self.queue = TransferQueue(link_mbps=link_mbps)
        self.incoming: dict[tuple[PeerStream, int], IncomingBody] = {}
        self.loop = asyncio.get_running_loop()

    async def receive(
        self,
        stream: PeerStream,
        call_id: int,
        call: UpstreamCall,
        *,
        size: int,
        run_time_s: float,
        share: MemoryShare | None = None,
    ) -> Body | None:
        """Return the body of a call, or None if it can't arrive in time.

        Parameters
        ----------
        stream : PeerStream
            Stream on which the call arrived.
        call_id : int
            Identifier of the call on the stream.
        call : UpstreamCall
            Call without its body.
        size : int
            Size of the body, in bytes.
        run_time_s : float
            Expected run time of the call, in seconds.
        share : MemoryShare or None, default=None
            Share of the body, which the caller releases.
        """
        transfer = BodyTransfer(
            size=size,
            priority=call.priority,
            due_at=call.due_at,
            deadline=call.deadline,
            run_time_s=run_time_s,
        )
        if not self.queue.offer(transfer, self.loop.time()):
            return None
        body = IncomingBody(
            stream=stream, call_id=call_id, transfer=transfer, share=share
        )
        self.incoming[stream, call_id] = body
        self.send_grants()
        try:
            async with asyncio.timeout_at(call.deadline - run_time_s):
                is_complete = await body.completed
        except TimeoutError:
            return None
        finally:
            del self.incoming[stream, call_id]
            self.queue.discard(transfer)
            self.send_grants()
        return body.content.finish() if is_complete else None

    def send_grants(self) -> None:
        """Tell the senders of the next bodies what they may send.

        Bodies that can't arrive in time any more are given up at once.
        """
        bodies = {body.transfer: body for body in self.incoming.values()}
        for transfer in self.queue.drop_infeasible(self.loop.time()):
            bodies[transfer].complete(False)
        for transfer, n_bytes in self.queue.make_grants():
            body = bodies[transfer]
            body.stream.send(PeerBodyGrant(call_id=body.call_id, n_bytes=n_bytes))

    def receive_part(self, stream: PeerStream, part: PeerBodyPart) -> bool:
        """Append a part of a body; return False if it was not granted.

        A part of a body that was given up is ignored.
        """
        body = self.incoming.get((stream, part.call_id))
        if body is None:
            return True
        if not self.queue.record_received(body.transfer, len(part.content)):
            return False
        body.content.append(part.content)
        if body.share is not None:
            body.share.record_received(len(part.content))
        if body.transfer.is_complete:
            body.complete(True)
        self.send_grants()
        return True
