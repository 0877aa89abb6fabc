import asyncio
import unittest
from contextlib import AsyncExitStack
from dataclasses import dataclass

from tornado.testing import bind_unused_port

from foxtailway.common import FailureKind, Step
from foxtailway.transport.codec import MessageCodec
from foxtailway.transport.listener import MeshListener, StreamAcceptor
from foxtailway.transport.stream import (
    N_BUFFERED_MESSAGES,
    MessageStream,
    TcpDialer,
)

MAX_MESSAGE_SIZE = 400_000


@dataclass(frozen=True, slots=True, kw_only=True)
class Message:
    body: bytes


class EchoAcceptor(StreamAcceptor):
    """Return every message to its sender."""

    async def accept(self, stream: MessageStream) -> None:
        while (received := await stream.receive()).is_ok():
            await stream.send(received.ok)


class SilentAcceptor(StreamAcceptor):
    """Keep streams open without reads."""

    async def accept(self, stream: MessageStream) -> None:
        await asyncio.Event().wait()


class RawAcceptor(StreamAcceptor):
    """Reply to the first message with raw bytes."""

    def __init__(self, *, content: bytes) -> None:
        self.content = content

    async def accept(self, stream: MessageStream) -> None:
        await stream.receive()
        await stream.stream.write(self.content)
        await stream.receive()


class TcpMessageStreamTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.stack = AsyncExitStack()
        self.addAsyncCleanup(self.stack.aclose)

    async def dial(self, acceptor: StreamAcceptor) -> MessageStream:
        codec = MessageCodec(message_types=(Message,))
        listener = MeshListener(
            codec=codec, max_message_size=MAX_MESSAGE_SIZE, acceptor=acceptor
        )
        socket, port = bind_unused_port()
        listener.add_socket(socket)
        self.stack.callback(listener.stop)
        dialer = TcpDialer(
            codec=codec,
            max_message_size=MAX_MESSAGE_SIZE,
            source_address="127.0.0.1",
        )
        dialled = await dialer.dial(address="127.0.0.1", port=port, timeout_s=2.0)
        self.stack.callback(dialled.ok.close)
        return dialled.ok

    async def test_oversized_message_fails_and_stream_stays_usable(self) -> None:
        stream = await self.dial(EchoAcceptor())
        sent = await stream.send(Message(body=bytes(MAX_MESSAGE_SIZE + 1)))
        self.assertEqual(sent.error.step, Step.SEND)
        self.assertEqual(sent.error.kind, FailureKind.TOO_LARGE)
        self.assertEqual(stream.n_bytes_sent, 0)
        message = Message(body=b"small")
        self.assertTrue((await stream.send(message)).is_ok())
        self.assertEqual((await stream.receive()).ok, message)

    async def test_consecutive_messages_of_the_largest_size_pass(self) -> None:
        stream = await self.dial(EchoAcceptor())
        message = Message(body=bytes(MAX_MESSAGE_SIZE - 10))
        sends = [asyncio.ensure_future(stream.send(message)) for _ in range(4)]
        for _ in range(4):
            received = await stream.receive()
            self.assertTrue(received.is_ok(), received)
        await asyncio.wait(sends)

    async def test_write_buffer_for_a_peer_that_does_not_read_is_bounded(self) -> None:
        stream = await self.dial(SilentAcceptor())
        message = Message(body=bytes(MAX_MESSAGE_SIZE - 10))
        sends = [asyncio.ensure_future(stream.send(message)) for _ in range(100)]
        done, waiting = await asyncio.wait(sends, timeout=0.2)
        self.assertLessEqual(len(waiting), N_BUFFERED_MESSAGES)
        kinds = {task.result().error.kind for task in done if task.result().is_error()}
        self.assertEqual(kinds, {FailureKind.UNAVAILABLE})
        stream.close()
        await asyncio.wait(sends)

    async def test_text_without_utf8_encoding_is_invalid(self) -> None:
        stream = await self.dial(EchoAcceptor())
        sent = await stream.send(Message(body="\ud800"))
        self.assertEqual(sent.error.kind, FailureKind.INVALID)
        self.assertTrue((await stream.send(Message(body=b"next"))).is_ok())

    async def test_array_length_above_the_limit_is_invalid(self) -> None:
        """Nested array headers must not make the unpacker reserve their lengths."""
        stream = await self.dial(RawAcceptor(content=b"\xdd\x00\x05\x00\x00" * 900))
        await stream.send(Message(body=b"start"))
        received = await asyncio.wait_for(stream.receive(), 5.0)
        self.assertEqual(received.error.kind, FailureKind.INVALID)
