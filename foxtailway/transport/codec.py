"""Encoding of typed messages as msgpack arrays."""

from collections.abc import Sequence
from dataclasses import dataclass, fields, is_dataclass
from enum import Enum
from types import NoneType, UnionType
from typing import Any, get_args, get_origin, get_type_hints

import msgpack
from expression import Error, Ok, Result

from foxtailway.common.failure import Failure, FailureKind, Step

__all__ = ["MessageCodec"]


class FieldError(Exception):
    """Report a value that does not fit the annotation of its field."""


@dataclass(frozen=True, slots=True, kw_only=True)
class FieldPlan:
    """Name and annotation of one field of a message."""

    name: str
    annotation: Any


class MessageCodec:
    """Translate frozen data classes to msgpack arrays and back.

    A message becomes ``[tag, field, ...]`` where the tag is its index in
    `message_types`. Fields may be ``int``, ``float``, ``str``, ``bytes``,
    ``bool``, an enumeration, a frozen data class, ``tuple[X, ...]`` or
    ``X | None`` of these.

    Parameters
    ----------
    message_types : sequence of type
        Data classes in the order of their tags. Appending keeps the tags of
        earlier types.

    Examples
    --------
    >>> @dataclass(frozen=True, kw_only=True)
    ... class Ping:
    ...     sequence: int
    >>> codec = MessageCodec(message_types=(Ping,))
    >>> codec.unpack(msgpack.unpackb(codec.encode(Ping(sequence=3))), peer="a").ok
    Ping(sequence=3)
    """

    def __init__(self, *, message_types: Sequence[type]) -> None:
        self.message_types = tuple(message_types)
        self.tags = {kind: tag for tag, kind in enumerate(self.message_types)}
        self.plans: dict[type, tuple[FieldPlan, ...]] = {}

    def encode(self, message: object) -> bytes:
        """Return the msgpack encoding of `message`."""
        tag = self.tags[type(message)]
        return msgpack.packb([tag, *self.flatten(message)])

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
            if not isinstance(packed, list) or not packed:
                raise FieldError("message is not an array")
            tag = packed[0]
            if type(tag) is not int or not 0 <= tag < len(self.message_types):
                raise FieldError("unknown message tag")
            return Ok(self.build(self.message_types[tag], packed[1:]))
        except FieldError as error:
            return Error(
                Failure(
                    step=Step.DECODE,
                    kind=FailureKind.INVALID,
                    peer=peer,
                    detail=str(error),
                )
            )

    def flatten(self, message: object) -> list[Any]:
        """Return the field values of a data class as msgpack values."""
        plans = self.plan(type(message))
        return [self.flatten_value(getattr(message, plan.name)) for plan in plans]

    def flatten_value(self, value: Any) -> Any:
        """Return one field value as a msgpack value."""
        if isinstance(value, Enum):
            return value.value
        if isinstance(value, tuple):
            return [self.flatten_value(item) for item in value]
        if is_dataclass(value):
            return self.flatten(value)
        return value

    def plan(self, kind: type) -> tuple[FieldPlan, ...]:
        """Return the resolved fields of a data class."""
        plans = self.plans.get(kind)
        if plans is None:
            hints = get_type_hints(kind)
            plans = tuple(
                FieldPlan(name=item.name, annotation=hints[item.name])
                for item in fields(kind)
            )
            self.plans[kind] = plans
        return plans

    def build(self, kind: type, values: Any) -> Any:
        """Build a data class from msgpack values."""
        plans = self.plan(kind)
        if not isinstance(values, list) or len(values) != len(plans):
            raise FieldError(f"{kind.__name__}: wrong number of fields")
        arguments = {}
        for plan, value in zip(plans, values, strict=True):
            where = f"{kind.__name__}.{plan.name}"
            arguments[plan.name] = self.build_value(plan.annotation, value, where)
        return kind(**arguments)

    def build_value(self, annotation: Any, value: Any, where: str) -> Any:
        """Build one field value, checking it against its annotation."""
        if get_origin(annotation) is UnionType:
            return self.build_optional(annotation, value, where)
        if get_origin(annotation) is tuple:
            if not isinstance(value, list):
                raise FieldError(f"{where}: not an array")
            item_annotation = get_args(annotation)[0]
            return tuple(
                self.build_value(item_annotation, item, where) for item in value
            )
        if annotation is float and type(value) in (int, float):
            return float(value)
        if is_dataclass(annotation):
            return self.build(annotation, value)
        if isinstance(annotation, type) and issubclass(annotation, Enum):
            return build_enum(annotation, value, where)
        if type(value) is not annotation:
            raise FieldError(f"{where}: not of type {annotation.__name__}")
        return value

    def build_optional(self, annotation: Any, value: Any, where: str) -> Any:
        """Build the value of an ``X | None`` field."""
        if value is None:
            return None
        kinds = [kind for kind in get_args(annotation) if kind is not NoneType]
        return self.build_value(kinds[0], value, where)


def build_enum(annotation: type[Enum], value: Any, where: str) -> Enum:
    """Return the member of an enumeration that has `value`."""
    try:
        return annotation(value)
    except ValueError:
        raise FieldError(f"{where}: unknown value") from None
