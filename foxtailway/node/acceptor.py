"""Dispatch of accepted streams on the mesh port."""

import asyncio

from foxtailway.common.failure import Failure, FailureKind, Step
from foxtailway.distribution.agent import DistributionAgent
from foxtailway.distribution.message import ControlHello
from foxtailway.proxy.message import CallHello
from foxtailway.proxy.observer import CallObserver
from foxtailway.proxy.responder import CallResponder
from foxtailway.transport.listener import StreamAcceptor
from foxtailway.transport.stream import MessageStream

__all__ = ["NodeAcceptor"]

# Time for the first message of a new stream.
HELLO_TIMEOUT_S = 3.0


class NodeAcceptor(StreamAcceptor):
    """Acceptor that selects the server of a stream by its first message.

    Parameters
    ----------
    agent : DistributionAgent
        Serves the streams of distribution.
    responder : CallResponder
        Serves the streams of calls.
    observer : CallObserver
        Notified of peers that send no hello or an invalid one.
    """

    def __init__(
        self,
        *,
        agent: DistributionAgent,
        responder: CallResponder,
        observer: CallObserver,
    ) -> None:
        self.agent = agent
        self.responder = responder
        self.observer = observer

    async def accept(self, stream: MessageStream) -> None:
        """Serve a stream until it ends, or report a peer without a valid hello."""
        try:
            async with asyncio.timeout(HELLO_TIMEOUT_S):
                received = await stream.receive()
        except TimeoutError:
            self.report_invalid_hello(stream, FailureKind.TIMEOUT, "no hello")
            return
        if received.is_error():
            self.observer.peer_refused(received.error)
            return
        match received.ok:
            case ControlHello() as hello:
                await self.agent.accept(stream, hello)
            case CallHello() as hello:
                await self.responder.accept(stream, hello)
            case other:
                detail = f"first message is {type(other).__name__}"
                self.report_invalid_hello(stream, FailureKind.INVALID, detail)

    def report_invalid_hello(
        self, stream: MessageStream, kind: FailureKind, detail: str
    ) -> None:
        """Report a peer that sent no valid hello; the listener closes its stream."""
        self.observer.peer_refused(
            Failure(step=Step.HELLO, kind=kind, peer=stream.peer, detail=detail)
        )
