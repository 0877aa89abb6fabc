"""Decoder of log lines, for fuzzing."""

import json

from foxtailway.explain.cause import count_causes, find_cause
from foxtailway.explain.sidecar_log import read_events
from foxtailway.testing.decoder_fuzzing import DecoderCase

__all__ = ["CASES"]

LINES = [
    {"time": 1.0, "host": "h", "event": "not_answered", "upstream": "u", "n_busy": 3},
    {"time": 2.0, "host": "h", "event": "refused", "status": 503, "reason": "no-route"},
]


def encode_lines(records: list[object]) -> bytes:
    """Return one JSON line for each record."""
    return "\n".join(map(json.dumps, records)).encode()


def explain(data: bytes) -> None:
    """Read lines, and explain and count the events in them."""
    text = data.decode("utf-8", errors="replace")
    events = read_events(text.splitlines()).events
    find_cause(events)
    count_causes(events)


CASES = (
    DecoderCase(
        name="explain log lines",
        samples=(LINES,),
        encode=encode_lines,
        decode=explain,
        errors=(),
    ),
)
