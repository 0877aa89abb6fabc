"""Pool of outgoing call streams to other nodes."""

import asyncio
from collections.abc import Callable

from expression import Error, Ok, Result

from foxtailway.common.clock import Clock
from foxtailway.common.failure import Failure, FailureKind, Step
from foxtailway.model.host import Host
from foxtailway.proxy.channel import CallChannel, ChannelObserver
from foxtailway.proxy.message import CALL_PROTOCOL, CallHello, CallHelloAck
from foxtailway.settings.model import NodeSettings
from foxtailway.transport.stream import Dialer, MessageStream

__all__ = ["ChannelPool"]


class ChannelPool:
    """Open and share one call stream per host.

    Parameters
    ----------
    settings : NodeSettings
        Settings of this node.
    dialer : Dialer
        Opens streams.
    clock : Clock
        Source of time.
    observer : ChannelObserver
        Receiver of events.
    on_open : callable, default=None
        Called with each new channel.
    """

    def __init__(
        self,
        *,
        settings: NodeSettings,
        dialer: Dialer,
        clock: Clock,
        observer: ChannelObserver,
        on_open: Callable[[CallChannel], None] | None = None,
    ) -> None:
        self.settings = settings
        self.dialer = dialer
        self.clock = clock
        self.observer = observer
        self.on_open = on_open
        self.channels: dict[str, CallChannel] = {}
        self.opening_tasks: dict[str, asyncio.Task] = {}
        self.is_closed = False

    async def get_channel(self, host: Host) -> Result[CallChannel, Failure]:
        """Return an open channel to `host`, connecting if there is none.

        Concurrent callers share one connection attempt, which goes on when one
        of them is cancelled.
        """
        channel = self.channels.get(host.host_id)
        if channel is not None and not channel.is_closed:
            return Ok(channel)
        task = self.opening_tasks.get(host.host_id)
        if task is None:
            task = asyncio.ensure_future(self.open(host))
            self.opening_tasks[host.host_id] = task
            task.add_done_callback(lambda _: self.opening_tasks.pop(host.host_id, None))
        return await asyncio.shield(task)

    async def open(self, host: Host) -> Result[CallChannel, Failure]:
        """Connect to a host and perform the handshake."""
        timeout_s = self.settings.calls.connect_timeout_s
        dialled = await self.dialer.dial(
            address=host.address, port=host.mesh_port, timeout_s=timeout_s
        )
        if dialled.is_error():
            return Error(dialled.error)
        stream = dialled.ok
        hello_result = await self.exchange_hello(host, stream, timeout_s)
        if self.is_closed:
            hello_result = Error(
                make_hello_failure(stream, FailureKind.CLOSED, "node is stopping")
            )
        if hello_result.is_error():
            stream.close()
            return Error(hello_result.error)
        channel = CallChannel(
            host_id=host.host_id,
            stream=stream,
            settings=self.settings,
            clock=self.clock,
            observer=self.observer,
        )
        self.channels[host.host_id] = channel
        if self.on_open is not None:
            self.on_open(channel)
        return Ok(channel)

    async def exchange_hello(
        self, host: Host, stream: MessageStream, timeout_s: float
    ) -> Result[None, Failure]:
        """Exchange hello and acknowledgement and verify the host's identity."""
        hello = CallHello(
            protocol=CALL_PROTOCOL,
            mesh=self.settings.host.mesh,
            host_id=self.settings.host.host_id,
        )
        sent = await stream.send(hello)
        if sent.is_error():
            return sent
        try:
            async with asyncio.timeout(timeout_s):
                received = await stream.receive()
        except TimeoutError:
            return Error(
                make_hello_failure(
                    stream, FailureKind.TIMEOUT, "no CallHelloAck in time"
                )
            )
        if received.is_error():
            return Error(received.error)
        ack = received.ok
        if not isinstance(ack, CallHelloAck):
            return Error(
                make_hello_failure(
                    stream, FailureKind.REFUSED, "first message is not a CallHelloAck"
                )
            )
        if ack.host_id != host.host_id:
            detail = f"expected host {host.host_id}, found {ack.host_id}"
            return Error(make_hello_failure(stream, FailureKind.REFUSED, detail))
        return Ok(None)

    def retain(self, host_ids: frozenset[str]) -> None:
        """Close the idle channels to hosts that are not in `host_ids`."""
        for host_id, channel in list(self.channels.items()):
            if channel.is_closed or (host_id not in host_ids and not channel.futures):
                channel.close()
                del self.channels[host_id]

    def close(self) -> None:
        """Close all channels, including those that are still being opened."""
        self.is_closed = True
        for channel in list(self.channels.values()):
            channel.close()
        self.channels.clear()


def make_hello_failure(
    stream: MessageStream, kind: FailureKind, detail: str
) -> Failure:
    """Return a failure of the handshake."""
    return Failure(step=Step.HELLO, kind=kind, peer=stream.peer, detail=detail)
