import unittest
from dataclasses import dataclass
from enum import Enum

import msgpack
from hypothesis import given
from hypothesis import strategies as st

from foxtailway.common import FailureKind, Step
from foxtailway.transport import MessageCodec


class Colour(Enum):
    RED = "red"


@dataclass(frozen=True, slots=True, kw_only=True)
class Item:
    key: str
    content: bytes | None


@dataclass(frozen=True, slots=True, kw_only=True)
class Message:
    age_s: float
    colour: Colour
    items: tuple[Item, ...]


ITEMS = st.builds(Item, key=st.text(), content=st.none() | st.binary())
MESSAGES = st.builds(
    Message,
    age_s=st.floats(allow_nan=False),
    colour=st.sampled_from(Colour),
    items=st.lists(ITEMS).map(tuple),
)
VALUES = st.recursive(
    st.none() | st.booleans() | st.integers(0, 9) | st.text() | st.binary(),
    lambda inner: st.lists(inner, max_size=4),
)


class MessageCodecTest(unittest.TestCase):
    def setUp(self) -> None:
        self.codec = MessageCodec(message_types=(Item, Message))

    @given(MESSAGES)
    def test_round_trip(self, message: Message) -> None:
        unpacked = msgpack.unpackb(self.codec.encode(message))
        self.assertEqual(self.codec.unpack(unpacked, peer="peer").ok, message)

    @given(VALUES)
    def test_invalid_values_never_raise(self, value: object) -> None:
        result = self.codec.unpack(value, peer="peer")
        if result.is_error():
            self.assertEqual(result.error.step, Step.DECODE)
            self.assertEqual(result.error.kind, FailureKind.INVALID)
            self.assertEqual(result.error.peer, "peer")
        else:
            self.assertIsInstance(result.ok, Item | Message)

    def test_boolean_is_not_an_integer_tag(self) -> None:
        result = self.codec.unpack([True, 1.0, "red", []], peer="peer")
        self.assertTrue(result.is_error())
