from unittest import IsolatedAsyncioTestCase
from unittest.mock import Mock

import msgpack

from foxtailway.sidecar.memory_account import MemoryAccount
from foxtailway.sidecar.peer_message import PeerPing
from foxtailway.sidecar.peer_stream import (
    PeerStream,
    PeerStreamHandler,
    make_peer_codec,
)
from foxtailway.sidecar.tests.support import make_log, wait_until

MESSAGES = tuple(PeerPing(sequence=number) for number in (1, 300, 70_000))


class RecordingHandler(PeerStreamHandler):
    def __init__(self) -> None:
        self.messages: list[object] = []

    def message_received(self, stream: PeerStream, message: object) -> None:
        self.messages.append(message)

    def stream_opened(self, stream: PeerStream) -> None:
        raise NotImplementedError

    def stream_lost(self, stream: PeerStream) -> None:
        raise NotImplementedError


class PeerStreamTest(IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.codec = make_peer_codec()
        self.data = b"".join(map(self.codec.encode, MESSAGES))
        self.handler = RecordingHandler()

    def make_stream(self, account: MemoryAccount | None = None) -> PeerStream:
        return PeerStream(
            handler=self.handler, codec=self.codec, log=make_log(), account=account
        )

    async def test_messages_may_be_split_at_any_byte(self) -> None:
        for split_at in range(len(self.data) + 1):
            stream = self.make_stream()
            self.handler.messages.clear()
            stream.data_received(self.data[:split_at])
            stream.data_received(self.data[split_at:])
            self.assertEqual(self.handler.messages, list(MESSAGES))

    async def test_stream_without_a_partial_message_holds_no_unpacker(self) -> None:
        """Load pattern: streams to hundreds of peers, most of them idle."""
        stream = self.make_stream()
        self.assertIsNone(stream.unpacker)
        for data in (self.data[:-1], self.data[-1:] + self.data[:1]):
            stream.data_received(data)
            self.assertIsNotNone(stream.unpacker)
        stream.data_received(self.data[1:])
        self.assertIsNone(stream.unpacker)
        self.assertEqual(len(self.handler.messages), 2 * len(MESSAGES))

    async def test_large_messages_take_turns_while_there_is_no_room(self) -> None:
        """Incomplete messages of many peers filled the memory of a process."""
        account = MemoryAccount()
        streams = [self.make_stream(account) for _ in range(3)]
        large = msgpack.packb(bytes(200_000))
        for stream in streams:
            stream.transport = Mock(**{"get_write_buffer_size.return_value": 0})
            stream.is_open = True
            stream.data_received(large[:100_000])
        account.n_held += account.size
        for stream in streams:
            stream.data_received(large[100_000:150_000])
        self.assertEqual(
            [stream.is_waiting_for_room for stream in streams], [False, True, True]
        )
        streams[0].data_received(large[150_000:])
        account.n_held -= account.size
        await wait_until(lambda: not streams[2].is_waiting_for_room)
        self.assertEqual(streams[2].transport.resume_reading.call_count, 1)

    async def test_map_with_an_array_as_key_closes_the_stream(self) -> None:
        """An unhashable key must end the stream, not reach the event loop."""
        stream = self.make_stream()
        stream.data_received(b"\x81\x90\x00")
        self.assertFalse(stream.is_open)
        self.assertEqual(self.handler.messages, [])
