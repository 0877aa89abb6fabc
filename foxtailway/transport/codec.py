"""Encoding of typed messages as msgpack arrays."""

from collections.abc import Sequence
from typing import Any

from expression import Error, Ok, Result

from foxtailway.common.failure import Failure, FailureKind, Step
from foxtailway.transport.message_schema import FieldError, MessageSchemas

__all__ = ["MessageCodec"]


class MessageCodec:
    """Translate frozen data classes to msgpack arrays and back.

    Parameters
    ----------
    message_types : sequence of type
        Data classes in the order of their tags, as for `MessageSchemas`.

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
        self.plans = MessageSchemas(message_types=message_types)

    def encode(self, message: object) -> bytes:
        """Return the msgpack encoding of `message`."""
        return self.plans.encode(message)

    def unpack(self, packed: object, *, peer: str) -> Result[Any, Failure]:
        """Build the message described by an unpacked msgpack value.

        Parameters
        ----------
        packed : object
            Value produced by a msgpack unpacker.
        peer : str
            Sender, named in the failure.

        Returns
        -------
        Result
            The message, or a failure of step ``DECODE``.
        """
        try:
            return Ok(self.plans.build(packed))
        except FieldError as error:
            return Error(
                Failure(
                    step=Step.DECODE,
                    kind=FailureKind.INVALID,
                    peer=peer,
                    detail=str(error),
                )
            )
