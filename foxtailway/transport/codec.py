"""Encoding of messages as msgpack arrays."""

from collections.abc import Sequence
from typing import Any

from expression import Error, Ok, Result

from foxtailway.common.failure import Failure, FailureKind, Step
from foxtailway.transport.message_schema import FieldError, MessageSchemas

__all__ = ["MessageCodec"]


class MessageCodec:
    """Convert messages to msgpack arrays and back.

    Parameters
    ----------
    message_types : sequence of type
        Frozen data classes in the order of their tags; see `MessageSchemas`.

    Examples
    --------
    >>> import msgpack
    >>> from dataclasses import dataclass
    >>> @dataclass(frozen=True, kw_only=True)
    ... class Ping:
    ...     sequence: int
    >>> codec = MessageCodec(message_types=(Ping,))
    >>> codec.unpack(msgpack.unpackb(codec.encode(Ping(sequence=3))), peer="a").ok
    Ping(sequence=3)
    """

    def __init__(self, *, message_types: Sequence[type]) -> None:
        self.schemas = MessageSchemas(message_types=message_types)

    def encode(self, message: object) -> bytes:
        """Return the msgpack encoding of a message."""
        return self.schemas.encode(message)

    def unpack(self, value: object, *, peer: str) -> Result[Any, Failure]:
        """Return the message that an unpacked msgpack value encodes.

        Parameters
        ----------
        value : object
            Value produced by a msgpack unpacker.
        peer : str
            ``address:port`` of the sender, for the failure.

        Returns
        -------
        Result
            The message, or a failure of step ``DECODE`` and kind ``INVALID``.
        """
        try:
            return Ok(self.schemas.build(value))
        except FieldError as error:
            return Error(
                Failure(
                    step=Step.DECODE,
                    kind=FailureKind.INVALID,
                    peer=peer,
                    detail=str(error),
                )
            )
