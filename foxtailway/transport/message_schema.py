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
    """Raised if a value does not match the annotation of its field."""


@dataclass(frozen=True, slots=True, kw_only=True)
class FieldSchema:
    """Converters of one field.

    Parameters
    ----------
    name : str
        Name of the field.
    serialize : callable or None
        Function from the field's value to a msgpack value; None if msgpack
        packs the value without conversion.
    build : callable
        Function from a msgpack value to the field's value; raises `FieldError`
        if the value does not match the field's type.
    """

    name: str
    serialize: Converter | None
    build: Converter


class MessageSchema:
    """Convert messages of one data class by converters from its annotations.

    Parameters
    ----------
    message_type : type
        Frozen data class.
    """

    def __init__(self, *, message_type: type) -> None:
        self.message_type = message_type
        hints = get_type_hints(message_type)
        self.fields = tuple(
            make_field_schema(
                f"{message_type.__name__}.{data_field.name}",
                data_field.name,
                hints[data_field.name],
            )
            for data_field in fields(message_type)
        )
        self.serializers = tuple(
            (attrgetter(field.name), field.serialize) for field in self.fields
        )

    def serialize(self, message: object) -> list[Any]:
        """Return the values of the fields as msgpack values."""
        return [
            get_value(message) if serialize is None else serialize(get_value(message))
            for get_value, serialize in self.serializers
        ]

    def build(self, values: Any) -> Any:
        """Return the message with the given msgpack values as fields.

        Raises
        ------
        FieldError
            If the values do not match the fields of the data class.
        """
        if type(values) is not list or len(values) != len(self.fields):
            raise FieldError(f"{self.message_type.__name__}: wrong number of fields")
        return self.message_type(
            **{
                field.name: field.build(value)
                for field, value in zip(self.fields, values, strict=True)
            }
        )


class MessageSchemas:
    """Convert messages of known types to tagged arrays and back.

    A message is packed as ``[tag, field, ...]`` where the tag is the index of
    its type in `message_types`. Fields may be ``int``, ``float``, ``str``, ``bytes``,
    ``bool``, an enumeration, a frozen data class, ``tuple[X, ...]`` or
    ``X | None`` of these.

    Parameters
    ----------
    message_types : sequence of type
        Data classes in the order of their tags. New types are appended, since
        the tags of existing types must not change.
    """

    def __init__(self, *, message_types: Sequence[type]) -> None:
        self.schemas = tuple(
            MessageSchema(message_type=message_type) for message_type in message_types
        )
        self.tags = {
            message_type: tag for tag, message_type in enumerate(message_types)
        }

    def encode(self, message: object) -> bytes:
        """Return the msgpack encoding of a message."""
        tag = self.tags[type(message)]
        return msgpack.packb([tag, *self.schemas[tag].serialize(message)])

    def build(self, value: object) -> Any:
        """Return the message that an unpacked msgpack value encodes.

        Raises
        ------
        FieldError
            If the value is not a valid message of a known type.
        """
        return self.find_schema(value).build(value[1:])

    def find_schema(self, value: object) -> MessageSchema:
        """Return the schema for the tag of an unpacked value.

        Raises
        ------
        FieldError
            If the value is not an array or its tag is unknown.
        """
        if type(value) is not list or not value:
            raise FieldError("message is not an array")
        tag = value[0]
        if type(tag) is not int or not 0 <= tag < len(self.schemas):
            raise FieldError("unknown message tag")
        return self.schemas[tag]


def make_field_schema(field_path: str, name: str, annotation: Any) -> FieldSchema:
    """Return the converters of a field.

    `field_path` names the field in errors, as ``Class.field``.
    """
    return FieldSchema(
        name=name,
        serialize=make_serializer(annotation),
        build=make_builder(field_path, annotation),
    )


def unwrap_optional(annotation: Any) -> Any | None:
    """Return X for ``X | None``, and None for anything else."""
    if get_origin(annotation) is not UnionType:
        return None
    return next(kind for kind in get_args(annotation) if kind is not NoneType)


def make_serializer(annotation: Any) -> Converter | None:
    """Return the converter to msgpack values; None if none is needed."""
    inner_type = unwrap_optional(annotation)
    if inner_type is not None:
        serialize = make_serializer(inner_type)
        if serialize is None:
            return None
        return lambda value: None if value is None else serialize(value)
    if get_origin(annotation) is tuple:
        serialize = make_serializer(get_args(annotation)[0])
        if serialize is None:
            return list
        return lambda value: [serialize(item) for item in value]
    if is_dataclass(annotation):
        return MessageSchema(message_type=annotation).serialize
    if issubclass(annotation, Enum):
        return attrgetter("value")
    return None


def make_builder(field_path: str, annotation: Any) -> Converter:
    """Return the converter from msgpack values, which raises `FieldError`."""
    inner_type = unwrap_optional(annotation)
    if inner_type is not None:
        build = make_builder(field_path, inner_type)
        return lambda value: None if value is None else build(value)
    if get_origin(annotation) is tuple:
        return make_tuple_builder(field_path, get_args(annotation)[0])
    if is_dataclass(annotation):
        return MessageSchema(message_type=annotation).build
    if issubclass(annotation, Enum):
        return make_enum_builder(field_path, annotation)
    if annotation is float:
        return make_float_builder(field_path)
    return make_type_builder(field_path, annotation)


def make_tuple_builder(field_path: str, item_annotation: Any) -> Converter:
    """Return the converter from an array to a tuple."""
    build_item = make_builder(field_path, item_annotation)

    def build(value: Any) -> tuple:
        if type(value) is not list:
            raise FieldError(f"{field_path}: not an array")
        return tuple([build_item(item) for item in value])

    return build


def make_enum_builder(field_path: str, enum_type: type[Enum]) -> Converter:
    """Return the converter from a value to the member of an enumeration."""
    members = {member.value: member for member in enum_type}

    def build(value: Any) -> Enum:
        try:
            return members[value]
        except (KeyError, TypeError):
            raise FieldError(f"{field_path}: not a value of the enum") from None

    return build


def make_float_builder(field_path: str) -> Converter:
    """Return the converter from an integer or a float to a float."""

    def build(value: Any) -> float:
        if type(value) is not float and type(value) is not int:
            raise FieldError(f"{field_path}: not a number")
        try:
            return float(value)
        except OverflowError:
            raise FieldError(
                f"{field_path}: number out of the range of a float"
            ) from None

    return build


def make_type_builder(field_path: str, expected_type: type) -> Converter:
    """Return the check of a value that needs no conversion."""

    def build(value: Any) -> Any:
        if type(value) is not expected_type:
            raise FieldError(f"{field_path}: not of type {expected_type.__name__}")
        return value

    return build
