"""Structure-aware fuzzing of the decoders of this project."""

import argparse
import json
import random
import sys
import time
from base64 import b64encode
from collections.abc import Callable, Iterator
from copy import deepcopy
from dataclasses import dataclass
from importlib import import_module
from pathlib import Path
from typing import Any

from hypothesis import HealthCheck, Phase, given, seed, settings
from hypothesis import strategies as st

__all__ = ["DecoderCase", "check_case", "find_cases", "main"]

PACKAGE = Path(__file__).resolve().parents[1]
# Module below `tests` of a package that lists its decoders as ``CASES``.
CASES_MODULE = "decoder_cases"
# Examples of one case in a round of the command.
N_EXAMPLES = 300
# Changes of the structure and of the bytes in one example.
MAX_CHANGES = 3
SECONDS_PER_MINUTE = 60
# Integers of msgpack and values around the bounds of common types.
INTEGERS = st.integers(-(2**63), 2**64 - 1) | st.sampled_from((0, -1, 2**31, 2**53))
LEAVES = (
    st.none()
    | st.booleans()
    | INTEGERS
    | st.floats()
    | st.text(max_size=20)
    | st.binary(max_size=20)
)
VALUES = st.recursive(
    LEAVES,
    lambda values: (
        st.lists(values, max_size=4)
        | st.dictionaries(st.text(max_size=8) | INTEGERS, values, max_size=4)
    ),
    max_leaves=8,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class DecoderCase:
    """One decoder of messages that other processes or persons write.

    Parameters
    ----------
    name : str
        Name in reports.
    samples : tuple
        Valid messages as nested lists, dictionaries and scalars.
    encode : callable
        Returns the bytes of a nested value.
    decode : callable
        Decodes bytes, and does with the result what its user does before it checks
        anything else.
    errors : tuple of type
        Errors that the user of the decoder handles.
    """

    name: str
    samples: tuple[Any, ...]
    encode: Callable[[Any], bytes]
    decode: Callable[[bytes], object]
    errors: tuple[type[Exception], ...]


def list_paths(value: Any, path: tuple = ()) -> Iterator[tuple]:
    """Yield the paths of all values inside a nested value, itself first."""
    yield path
    if isinstance(value, dict):
        for key in value:
            yield from list_paths(value[key], (*path, key))
    elif isinstance(value, list):
        for position, item in enumerate(value):
            yield from list_paths(item, (*path, position))


@st.composite
def draw_value(draw: Callable, samples: tuple[Any, ...]) -> Any:
    """Return a sample in which some values are replaced, removed or repeated."""
    value = deepcopy(draw(st.sampled_from(samples)))
    for _ in range(draw(st.integers(0, MAX_CHANGES))):
        path = draw(st.sampled_from(list(list_paths(value))))
        if not path:
            return draw(VALUES)
        parent = value
        for key in path[:-1]:
            parent = parent[key]
        change = draw(st.sampled_from(("replace", "remove", "repeat")))
        if change == "replace":
            parent[path[-1]] = draw(VALUES)
        elif change == "remove":
            del parent[path[-1]]
        elif isinstance(parent, list):
            parent.insert(path[-1], deepcopy(parent[path[-1]]))
    return value


@st.composite
def draw_message(draw: Callable, case: DecoderCase) -> bytes:
    """Return the bytes of a changed message, some of which are changed again."""
    value = draw(draw_value(case.samples))
    try:
        data = bytearray(case.encode(value))
    except (TypeError, ValueError, AttributeError, OverflowError):
        return draw(st.binary(max_size=200))
    for _ in range(draw(st.sampled_from((0, 0, 0, 1, MAX_CHANGES)))):
        position = draw(st.integers(0, len(data)))
        data[position : position + draw(st.integers(0, 4))] = draw(
            st.binary(max_size=4)
        )
    return bytes(data)


def decodes_or_fails(case: DecoderCase, data: bytes) -> None:
    """Decode bytes; raise only what the user of the decoder does not handle."""
    try:
        case.decode(data)
    except case.errors:
        return


def check_case(case: DecoderCase, *, n_examples: int, seed_value: int) -> None:
    """Decode examples of one case; raise the error of the smallest that fails.

    Parameters
    ----------
    case : DecoderCase
        Decoder to check.
    n_examples : int
        Number of examples.
    seed_value : int
        Seed of the examples.
    """

    @seed(seed_value)
    @settings(
        max_examples=n_examples,
        deadline=None,
        database=None,
        derandomize=False,
        phases=(Phase.generate, Phase.shrink),
        suppress_health_check=list(HealthCheck),
    )
    @given(draw_message(case))
    def check(data: bytes) -> None:
        try:
            decodes_or_fails(case, data)
        except Exception as error:
            error.add_note(f"{case.name}: {b64encode(data).decode()}")
            raise

    check()


def find_cases() -> tuple[DecoderCase, ...]:
    """Return the cases of all packages."""
    modules = sorted(PACKAGE.glob(f"*/tests/{CASES_MODULE}.py"))
    return tuple(
        case
        for path in modules
        for case in import_module(
            f"foxtailway.{path.parts[-3]}.tests.{CASES_MODULE}"
        ).CASES
    )


def main(arguments: list[str] | None = None) -> int:
    """Fuzz all decoders with fresh seeds for some minutes; return 1 on a finding."""
    parser = argparse.ArgumentParser(
        prog="python -m foxtailway.testing.decoder_fuzzing"
    )
    parser.add_argument("--minutes", type=float, default=1.0, help="time to run")
    parser.add_argument("--seed", type=int, help="seed of the first round")
    options = parser.parse_args(arguments)
    first_seed = options.seed
    if first_seed is None:
        first_seed = random.SystemRandom().randrange(2**32)
    ends_at = time.monotonic() + options.minutes * SECONDS_PER_MINUTE
    n_rounds = n_findings = 0
    cases = find_cases()
    while not n_rounds or time.monotonic() < ends_at:
        for case in cases:
            seed_value = first_seed + n_rounds
            try:
                check_case(case, n_examples=N_EXAMPLES, seed_value=seed_value)
            except Exception as error:
                n_findings += 1
                finding = {
                    "case": case.name,
                    "seed": seed_value,
                    "error": repr(error),
                    "notes": getattr(error, "__notes__", [])[:1],
                }
                print(json.dumps(finding), flush=True)
        n_rounds += 1
    report = {
        "cases": len(cases),
        "rounds": n_rounds,
        "examples": N_EXAMPLES * n_rounds * len(cases),
        "findings": n_findings,
        "first_seed": first_seed,
    }
    print(json.dumps(report))
    return 1 if n_findings else 0


if __name__ == "__main__":
    sys.exit(main())
