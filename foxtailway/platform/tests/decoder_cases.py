"""Decoders of the adapter of the users' platform, for fuzzing."""

import msgpack

from foxtailway.platform.document import (
    ConfigurationDecoder,
    DocumentError,
    decode_upstream,
)
from foxtailway.platform.settings import build_settings, parse_lines
from foxtailway.platform.store import CALL_ERRORS, decode_page
from foxtailway.platform.tests.documents import (
    make_document,
    make_entry,
    make_route_row,
)
from foxtailway.platform.tests.test_settings import SETTINGS_TEXT
from foxtailway.testing.decoder_fuzzing import DecoderCase
from foxtailway.traffic.configuration import TrafficConfiguration
from foxtailway.traffic.configuration_change import compare_configurations
from foxtailway.traffic.membership import Membership
from foxtailway.traffic.route_index import RouteIndex

__all__ = ["CASES"]

SPLIT_ROW = make_route_row(
    service=None,
    traffic_split=[
        {"service": "records", "weight": 1},
        {"service": "dispatch", "weight": 3},
    ],
)
ITEM = {"key": "servers/u-1", "value": "AAAA", "revision": 7, "created": 7, "lease": 0}
TOMBSTONE = {"key": "servers/u-2", "revision": 8, "tombstone": True}


def use_configuration(data: bytes) -> TrafficConfiguration:
    """Decode a configuration and prepare it for use."""
    configuration = ConfigurationDecoder().decode("configuration", data)
    RouteIndex(routes=configuration.routes).find("a.example", "/x/1")
    compare_configurations(None, configuration)
    return configuration


def use_entry(data: bytes) -> None:
    """Decode a registry entry and add it to a membership."""
    Membership().put(decode_upstream("entry", "u-1", data))


def encode_lines(fields: dict[str, object]) -> bytes:
    """Return the lines of a settings file."""
    return "\n".join(f"{name}={value}" for name, value in fields.items()).encode()


CASES = (
    DecoderCase(
        name="platform configuration",
        samples=(
            make_document(3, [make_route_row(), make_route_row(name="other")]),
            make_document(3, [SPLIT_ROW]),
        ),
        encode=msgpack.packb,
        decode=use_configuration,
        errors=(DocumentError,),
    ),
    DecoderCase(
        name="platform registry entry",
        samples=(msgpack.unpackb(make_entry()),),
        encode=msgpack.packb,
        decode=use_entry,
        errors=(DocumentError,),
    ),
    DecoderCase(
        name="platform store page",
        samples=(
            {"items": [ITEM], "store_revision": 9, "has_more": False},
            {"events": [ITEM, TOMBSTONE], "store_revision": 9},
        ),
        encode=msgpack.packb,
        decode=lambda data: decode_page(msgpack.unpackb(data)),
        errors=CALL_ERRORS,
    ),
    DecoderCase(
        name="platform settings",
        samples=(parse_lines(SETTINGS_TEXT),),
        encode=encode_lines,
        decode=lambda data: build_settings(parse_lines(data.decode())),
        errors=(OSError, ValueError, KeyError),
    ),
)
