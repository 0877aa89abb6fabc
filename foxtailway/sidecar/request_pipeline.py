"""Requests of one client connection, from their receipt to their responses."""

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import replace

from foxtailway.sidecar.http_message import (
    BODILESS_STATUSES,
    ClientRequest,
    Response,
    encode_response_head,
)
from foxtailway.sidecar.listener_state import ListenerState
from foxtailway.sidecar.memory_account import (
    SHORT_BODY_SIZE,
    MemoryShare,
)
from foxtailway.sidecar.progress_meter import ProgressMeter

__all__ = ["RESPONSE_NO_MEMORY", "RequestPipeline"]

# Unanswered requests of one connection; beyond that, reading is paused.
MAX_PIPELINED_REQUESTS = 16
# Requests of one connection that run at a time. Clients which pipeline send a few
# requests; the bound keeps one of them from taking all slots of an upstream.
MAX_CONCURRENT_REQUESTS = 8
# Bodies of responses that wait for an earlier response of their connection, in bytes;
# beyond that, no further request of the connection starts.
MAX_HELD_SIZE = 1_048_576
# Memory that a waiting or running request takes beside its head and body, in bytes.
REQUEST_OVERHEAD_SIZE = 1_024
# Time for which a connection is still read after a rejection, in seconds. Closing it
# with unread bytes would reset it, and the client might lose the response.
LINGER_S = 1.0
# Bytes of a response that are given to the transport at once. What the transport can't
# send it copies, and a response that the client reads slowly is to be held once.
MAX_WRITE_SIZE = 65_536
# Longest pause of a client that reads a response and may keep its connection while
# others find no room, in seconds.
READ_ALLOWANCE_S = 1.0
NO_BYTES = memoryview(b"")
# Response without a result. The request may have run.
RESPONSE_ERROR = Response(status=502)
# Response to a request that found no memory and has not run.
RESPONSE_NO_MEMORY = Response(status=503, head=b"Retry-After: 0.5\r\n")


class PipelinedRequest:
    """Request of a connection that has not been answered.

    Parameters
    ----------
    request : ClientRequest
        Request of the client.
    is_keep_alive : bool
        Whether the client keeps the connection open after it.
    share : MemoryShare or None
        Share of a large body.

    Attributes
    ----------
    waiting_since : float or None
        Monotonic time in seconds at which a request that had to wait was complete;
        None if it started at once.
    task : asyncio.Task or None
        Task that runs the request; None before it starts.
    n_held : int
        Bytes that the account holds for the request, and then for its response.
    n_waiting : int
        Bytes of the body of a response that waits for an earlier one.
    response : Response or None
        Response that waits for those before it; None while the request runs.
    """

    __slots__ = (
        "is_head_request",
        "is_keep_alive",
        "n_held",
        "n_waiting",
        "request",
        "response",
        "share",
        "task",
        "waiting_since",
    )

    def __init__(
        self,
        *,
        request: ClientRequest,
        is_keep_alive: bool,
        share: MemoryShare | None,
    ) -> None:
        self.request: ClientRequest | None = request
        self.is_keep_alive = is_keep_alive
        self.is_head_request = request.method == "HEAD"
        self.share = share
        self.n_held = REQUEST_OVERHEAD_SIZE + len(request.head)
        if share is None:
            self.n_held += len(request.body)
        else:
            share.evict = None
        self.n_waiting = 0
        self.waiting_since: float | None = None
        self.task: asyncio.Task | None = None
        self.response: Response | None = None


class RequestPipeline:
    """Run the requests of one connection and write their responses in their order.

    Idempotent requests that follow one another run concurrently. Any other request
    starts when all before it have been answered, and those behind it wait for it.

    Parameters
    ----------
    listener : ListenerState
        State of the listener that accepted the connection.
    transport : asyncio.Transport
        Transport of the connection.
    on_room : callable
        Called when further requests may be read.

    Attributes
    ----------
    write_share : MemoryShare or None
        Share of the responses that the client has not read; None for none.
    reading : ProgressMeter
        Progress of the client in reading its responses.
    unsent : memoryview
        Rest of a large response that is being written; no other one is written
        meanwhile.
    closes_after_unsent : bool
        Whether the connection is closed after it.
    requests : deque of PipelinedRequest
        Requests that have not been answered, in the order in which they were received.
    n_started : int
        Number of `requests` that have started; these are the first ones.
    n_held_bytes : int
        Bytes of the bodies of responses that wait for an earlier response.
    is_writing_paused : bool
        Whether the client reads its responses too slowly to start further requests.
    is_ended : bool
        Whether no further request is accepted.
    rejection : Response or None
        Response to an unreadable request, written after those to earlier ones.
    idle_since : float
        Monotonic time in seconds at which the connection was opened or the last
        response was written.
    """

    def __init__(
        self,
        *,
        listener: ListenerState,
        transport: asyncio.Transport,
        on_room: Callable[[], None],
    ) -> None:
        self.listener = listener
        self.account = listener.account
        self.on_room = on_room
        self.write_share: MemoryShare | None = None
        self.reading = ProgressMeter(allowance_s=READ_ALLOWANCE_S)
        self.unsent = NO_BYTES
        self.n_unread = 0
        self.closes_after_unsent = False
        self.transport = transport
        self.loop = asyncio.get_running_loop()
        self.requests: deque[PipelinedRequest] = deque()
        self.n_started = 0
        self.n_held_bytes = 0
        self.is_writing_paused = False
        self.is_ended = False
        self.rejection: Response | None = None
        self.idle_since = self.loop.time()

    @property
    def is_full(self) -> bool:
        """Whether no further request is read until one has been answered.

        While memory is scarce, what a client sends ahead waits in its socket.
        """
        return len(self.requests) > MAX_PIPELINED_REQUESTS or (
            bool(self.requests) and self.account.is_scarce
        )

    def append(
        self,
        request: ClientRequest,
        *,
        is_keep_alive: bool,
        share: MemoryShare | None = None,
    ) -> None:
        """Accept a request and start it if it may run now.

        Parameters
        ----------
        request : ClientRequest
            Complete request.
        is_keep_alive : bool
            Whether the client keeps the connection open after it.
        share : MemoryShare or None, default=None
            Share of its body, which is released with the request.
        """
        if not is_keep_alive:
            self.is_ended = True
        item = PipelinedRequest(
            request=request, is_keep_alive=is_keep_alive, share=share
        )
        self.account.n_held += item.n_held
        self.requests.append(item)
        self.start_requests()
        if item.task is None:
            item.waiting_since = self.loop.time()
            if self.is_full:
                self.transport.pause_reading()

    def set_writing_paused(self, is_paused: bool) -> None:
        """Write and start nothing while the client does not read its responses."""
        self.is_writing_paused = is_paused
        if is_paused:
            return
        if self.unsent:
            self.write_unsent()
            if not self.unsent and self.closes_after_unsent:
                self.transport.close()
            elif not self.unsent:
                self.write_responses()
        self.start_requests()

    def start_requests(self) -> None:
        """Start the waiting requests that may run now, in their order."""
        while self.n_started < len(self.requests) and self.can_start_next():
            item = self.requests[self.n_started]
            self.n_started += 1
            item.task = self.loop.create_task(self.run(item))

    def can_start_next(self) -> bool:
        """Return whether the next waiting request may start now."""
        if self.is_writing_paused:
            return False
        if not self.n_started:
            return True
        if (
            self.n_started >= MAX_CONCURRENT_REQUESTS
            or self.n_held_bytes > MAX_HELD_SIZE
            or self.listener.is_closing
            or self.account.is_scarce
        ):
            return False
        # All requests that have started can run beside others if there are several.
        can_run_beside = self.listener.handler.can_run_beside
        return can_run_beside(self.requests[self.n_started].request) and (
            self.n_started > 1 or can_run_beside(self.requests[0].request)
        )

    async def run(self, item: PipelinedRequest) -> None:
        """Run a request and write the responses whose turn has come."""
        request = item.request
        if item.waiting_since is not None:
            waited_s = self.loop.time() - item.waiting_since
            request = reduce_remaining_time(request, waited_s)
        response = await self.handle(request)
        if not self.requests:
            return  # The connection was lost while the process was ending.
        del request
        self.release_request(item)
        size = len(response.body)
        n_uncounted = size if response.holding is None else 0
        if size > SHORT_BODY_SIZE and not self.account.make_room(n_uncounted):
            self.account.count("n_dropped")
            response = RESPONSE_ERROR
            size = n_uncounted = 0
        item.response = response
        try:
            if item is self.requests[0]:
                self.write_responses()
            else:
                self.n_held_bytes += size
                item.n_waiting = size
                item.n_held = n_uncounted
                self.account.n_held += n_uncounted
        except Exception as error:
            self.listener.log.write_error("respond", error)
            self.is_ended = True
            self.transport.abort()

    def write_responses(self) -> None:
        """Write the first responses up to the first request that still runs."""
        while (
            self.requests and self.requests[0].response is not None and not self.unsent
        ):
            item = self.requests.popleft()
            self.n_started -= 1
            self.n_held_bytes -= item.n_waiting
            self.account.n_held -= item.n_held
            # A connection that closes still answers the requests that have started.
            is_last = not item.is_keep_alive or (
                self.listener.is_closing and not self.n_started
            )
            self.write(item.response, item.is_head_request, is_last)
            if is_last:
                self.discard_requests()
                return
        if self.requests:
            self.start_requests()
        if not self.is_full:
            self.on_room()
        if self.requests:
            return
        self.idle_since = self.loop.time()
        if self.rejection is not None and not self.unsent:
            self.write(self.rejection, False, True, lingers=True)

    def release_request(self, item: PipelinedRequest) -> None:
        """Forget a request that has a result and give its memory back."""
        item.request = None
        self.account.n_held -= item.n_held
        item.n_held = 0
        if item.share is not None:
            item.share.release()
            item.share = None

    def cancel_running(self) -> None:
        """Cancel the requests that run."""
        for item in self.requests:
            if item.task is not None and item.response is None:
                item.task.cancel()

    def discard_requests(self) -> None:
        """Cancel the requests that run and discard those that wait."""
        self.cancel_running()
        for item in self.requests:
            self.release_request(item)
        self.requests.clear()
        self.n_started = 0
        self.n_held_bytes = 0
        self.unsent = NO_BYTES
        self.idle_since = self.loop.time()

    async def handle(self, request: ClientRequest) -> Response:
        """Return the response of the handler, or 502 if there is none.

        That is so after an unexpected error, and at the end of the process. A request
        that finds no memory is refused.
        """
        if self.account.is_exhausted:
            self.account.count("n_refused")
            return RESPONSE_NO_MEMORY
        try:
            return await self.listener.handler.handle(request)
        except asyncio.CancelledError:
            if not self.listener.is_ending:
                raise
            return RESPONSE_ERROR
        except Exception as error:
            self.listener.log.write_error("handle", error, request.request_id)
            return RESPONSE_ERROR

    def write(
        self,
        response: Response,
        is_head_request: bool,
        is_last: bool,
        *,
        lingers: bool = False,
    ) -> None:
        """Write a response and close the connection after the last one.

        If it lingers, the client may still send, which is ignored, for a short time.
        """
        if self.transport.is_closing():
            return
        head = encode_response_head(response, is_last=is_last)
        body = response.body
        if is_head_request or response.status in BODILESS_STATUSES:
            body = b""
        if len(body) <= MAX_WRITE_SIZE:
            self.transport.write(head + body if body else head)
        else:
            self.transport.write(head)
            self.unsent = memoryview(body)
            self.write_unsent()
        self.update_write_share()
        if not is_last:
            return
        self.is_ended = True
        if self.unsent:
            self.closes_after_unsent = True
        elif lingers:
            self.transport.write_eof()
            self.transport.resume_reading()
            self.loop.call_later(LINGER_S, self.transport.close)
        else:
            self.transport.close()

    def write_unsent(self) -> None:
        """Write the next parts of a large response until the transport is full."""
        while self.unsent and not self.is_writing_paused:
            part = self.unsent[:MAX_WRITE_SIZE]
            # An empty slice would keep the whole body in memory.
            self.unsent = self.unsent[MAX_WRITE_SIZE:] or NO_BYTES
            self.transport.write(part)

    @property
    def is_sending(self) -> bool:
        """Whether bytes of a response wait for the client to read."""
        return bool(self.unsent) or self.transport.get_write_buffer_size() > 0

    def update_write_share(self) -> None:
        """Adjust the share of the responses that the client has not read."""
        n_buffered = self.transport.get_write_buffer_size()
        share = self.write_share
        if share is None:
            if not n_buffered:
                return
            share = self.write_share = self.account.open_share(self.transport.abort)
            self.reading.restart(self.account.limits.min_rate, self.loop.time())
        n_unread = n_buffered + len(self.unsent)
        n_read = max(0, self.n_unread - n_unread)
        share.n_moved += n_read
        if n_read:
            self.reading.record(n_read, self.account.limits.min_rate, self.loop.time())
        self.n_unread = n_unread
        # A response is held as a whole until all of it was given to the transport.
        share.set_held(n_buffered + (len(self.unsent.obj) if self.unsent else 0))
        if not n_unread:
            self.close_write_share()

    def close_write_share(self) -> None:
        """Give the share of the responses back."""
        if self.write_share is not None:
            self.write_share.release()
            self.write_share = None
            self.n_unread = 0

    def reject(self, response: Response) -> None:
        """Respond to an unreadable request and close the connection.

        The requests that were read before it are answered first.
        """
        if self.is_ended:
            return
        self.is_ended = True
        if self.requests or self.unsent:
            self.rejection = response
        else:
            self.write(response, False, True, lingers=True)


def reduce_remaining_time(request: ClientRequest, waited_s: float) -> ClientRequest:
    """Return a request whose remaining time is reduced by a time in seconds."""
    if request.remaining_ms is None:
        return request
    remaining_ms = max(0, request.remaining_ms - int(waited_s * 1000))
    return replace(request, remaining_ms=remaining_ms)
