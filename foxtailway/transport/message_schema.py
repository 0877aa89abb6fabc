"""Conversion of frozen data classes to msgpack values and back."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, fields, is_dataclass
from enum import Enum
from operator import attrgetter
from types import NoneType, UnionType
from typing import Any, get_args, get_origin, get_type_hints

import msgpack

__all__ = ["FieldError", "MessageSchemas"]

Converter = Callable[[Any], Any]


class FieldError(Exception):
    """Report a value that does not fit the annotation of its field."""


@dataclass(frozen=True, slots=True, kw_only=True)
class FieldPlan:
    """Hold the converters of one field.

    Parameters
    ----------
    name : str
        Name of the field.
    flatten : callable or None
        Turns the field's value into a msgpack value; None for values that
        msgpack takes as they are.
    build : callable
        Checks a msgpack value and turns it into the field's value.
    """

    name: str
    flatten: Converter | None
    build: Converter


class MessagePlan:
    """Convert one data class, with converters made once from its annotations.

    Parameters
    ----------
    kind : type
        Frozen data class.
    """

    def __init__(self, *, kind: type) -> None:
        self.kind = kind
        hints = get_type_hints(kind)
        self.fields = tuple(
            make_field_plan(f"{kind.__name__}.{item.name}", item.name, hints[item.name])
            for item in fields(kind)
        )
        self.flatteners = tuple(
            (attrgetter(field.name), field.flatten) for field in self.fields
        )

    def flatten(self, message: object) -> list[Any]:
        """Return the field values as msgpack values."""
        return [
            get(message) if flatten is None else flatten(get(message))
            for get, flatten in self.flatteners
        ]

    def build(self, values: Any) -> Any:
        """Build the data class from msgpack values."""
        if type(values) is not list or len(values) != len(self.fields):
            raise FieldError(f"{self.kind.__name__}: wrong number of fields")
        return self.kind(
            **{
                field.name: field.build(value)
                for field, value in zip(self.fields, values, strict=True)
            }
        )


class MessageSchemas:
    """Convert messages of known types to tagged arrays and back.

    A message becomes ``[tag, field, ...]`` where the tag is its index in
    `message_types`. Fields may be ``int``, ``float``, ``str``, ``bytes``,
    ``bool``, an enumeration, a frozen data class, ``tuple[X, ...]`` or
    ``X | None`` of these.

    Parameters
    ----------
    message_types : sequence of type
        Data classes in the order of their tags. Appending keeps the tags of
        earlier types.
    """

    def __init__(self, *, message_types: Sequence[type]) -> None:
        self.plans = tuple(MessagePlan(kind=kind) for kind in message_types)
        self.tags = {kind: tag for tag, kind in enumerate(message_types)}

    def encode(self, message: object) -> bytes:
        """Return the msgpack encoding of `message`."""
        tag = self.tags[type(message)]
        return msgpack.packb([tag, *self.plans[tag].flatten(message)])

    def build(self, packed: object) -> Any:
        """Return the message of an unpacked value, or raise `FieldError`."""
        return self.find_plan(packed).build(packed[1:])

    def find_plan(self, packed: object) -> MessagePlan:
        """Return the plan that the tag of an unpacked value names."""
        if type(packed) is not list or not packed:
            raise FieldError("message is not an array")
        tag = packed[0]
        if type(tag) is not int or not 0 <= tag < len(self.plans):
            raise FieldError("unknown message tag")
        return self.plans[tag]


def make_field_plan(where: str, name: str, annotation: Any) -> FieldPlan:
    """Return the converters of a field."""
    return FieldPlan(
        name=name,
        flatten=make_flattener(annotation),
        build=make_builder(where, annotation),
    )


def unwrap_optional(annotation: Any) -> Any | None:
    """Return X for ``X | None``, and None for anything else."""
    if get_origin(annotation) is not UnionType:
        return None
    return next(kind for kind in get_args(annotation) if kind is not NoneType)


def make_flattener(annotation: Any) -> Converter | None:
    """Return the converter to msgpack values, or None where none is needed."""
    inner = unwrap_optional(annotation)
    if inner is not None:
        flatten = make_flattener(inner)
        if flatten is None:
            return None
        return lambda value: None if value is None else flatten(value)
    if get_origin(annotation) is tuple:
        flatten = make_flattener(get_args(annotation)[0])
        if flatten is None:
            return list
        return lambda value: [flatten(item) for item in value]
    if is_dataclass(annotation):
        return MessagePlan(kind=annotation).flatten
    if issubclass(annotation, Enum):
        return attrgetter("value")
    return None


def make_builder(where: str, annotation: Any) -> Converter:
    """Return the converter from msgpack values, which checks them."""
    inner = unwrap_optional(annotation)
    if inner is not None:
        build = make_builder(where, inner)
        return lambda value: None if value is None else build(value)
    if get_origin(annotation) is tuple:
        return make_tuple_builder(where, get_args(annotation)[0])
    if is_dataclass(annotation):
        return MessagePlan(kind=annotation).build
    if issubclass(annotation, Enum):
        return make_enum_builder(where, annotation)
    if annotation is float:
        return make_float_builder(where)
    return make_exact_builder(where, annotation)


def make_tuple_builder(where: str, item_annotation: Any) -> Converter:
    """Return the converter of an array."""
    build_item = make_builder(where, item_annotation)

    def build(value: Any) -> tuple:
        if type(value) is not list:
            raise FieldError(f"{where}: not an array")
        return tuple([build_item(item) for item in value])

    return build


def make_enum_builder(where: str, kind: type[Enum]) -> Converter:
    """Return the converter of an enumeration's value."""
    members = {member.value: member for member in kind}

    def build(value: Any) -> Enum:
        try:
            return members[value]
        except (KeyError, TypeError):
            raise FieldError(f"{where}: unknown value") from None

    return build


def make_float_builder(where: str) -> Converter:
    """Return the converter of a number."""

    def build(value: Any) -> float:
        if type(value) is not float and type(value) is not int:
            raise FieldError(f"{where}: not a number")
        try:
            return float(value)
        except OverflowError:
            raise FieldError(f"{where}: number out of range") from None

    return build


def make_exact_builder(where: str, kind: type) -> Converter:
    """Return the converter of a value that msgpack delivers as it is."""

    def build(value: Any) -> Any:
        if type(value) is not kind:
            raise FieldError(f"{where}: not of type {kind.__name__}")
        return value

    return build
