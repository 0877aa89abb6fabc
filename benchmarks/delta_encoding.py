"""Size and CPU time of different encodings of a change."""

import json
from collections.abc import Callable
from dataclasses import dataclass
from difflib import SequenceMatcher
from random import Random
from time import perf_counter
from zlib import compress

from zstandard import DICT_TYPE_RAWCONTENT, ZstdCompressionDict, ZstdCompressor

from foxtailway.distribution.delta import encode_document, encode_update
from foxtailway.distribution.message import CONTROL_MESSAGE_TYPES
from foxtailway.model import BundleKind, make_bundle, make_document
from foxtailway.transport import MessageCodec

# Services of the base file.
N_SERVICES = 910
# Hosts of the host list of a zone.
N_HOSTS = 875
# Encodings for each measurement; slow text differences are encoded once.
N_REPEATS = 5
MS_PER_S = 1_000
# Encodes a new document for a receiver that holds the old one.
Encoder = Callable[[bytes, bytes], bytes]


@dataclass(frozen=True, slots=True, kw_only=True)
class Change:
    """Document before and after an edit."""

    name: str
    before: bytes
    after: bytes


def make_base(random_source: Random) -> bytes:
    """Return a base file with random values."""
    sections = []
    for index in range(N_SERVICES):
        sections.append(
            f"[service svc-{index:03}]\n"
            f"slots = {random_source.randrange(4, 20)}\n"
            f"connections = {random_source.randrange(50, 200)}\n"
            f"queued = {random_source.randrange(10, 90)}\n"
            f"queue_timeout = {random_source.randrange(50, 900)} ms\n"
            f"retry_ratio = 0.{random_source.randrange(1, 30):02}\n"
            f"max_ejected_ratio = 0.{random_source.randrange(1, 60):02}\n"
            f"slow_start = {random_source.randrange(1, 60)} s\n"
            f"secret = svc-{index:03}-token\n"
            f"[route svc-{index:03}-read]\n"
            f"path = /svc-{index:03}/items\n"
            f"methods = GET, HEAD\n"
            f"cluster = svc-{index:03}\n"
            f"timeout = {random_source.randrange(100, 4000)} ms\n\n"
        )
    return "".join(sections).encode()


def make_host_line(index: int, random_source: Random) -> bytes:
    """Return the line of a host in the host list."""
    address = f"10.{random_source.randrange(256)}.{index // 250}.{index % 250}"
    service = f"svc-{random_source.randrange(N_SERVICES):03}"
    return f"host-{index:05} {address} 7000 {service} live\n".encode()


def make_host_lines(random_source: Random) -> list[bytes]:
    """Return the lines of the host list."""
    return [make_host_line(index, random_source) for index in range(N_HOSTS)]


def replace_timeouts(text: bytes, random_source: Random, n_edits: int) -> bytes:
    """Return a base file in which some timeouts have new random values."""
    lines = text.splitlines(keepends=True)
    timeout_indices = [
        index for index, line in enumerate(lines) if line.startswith(b"timeout")
    ]
    for index in random_source.sample(timeout_indices, k=n_edits):
        lines[index] = b"timeout = %d ms\n" % random_source.randrange(100, 4000)
    return b"".join(lines)


def make_changes(random_source: Random) -> list[Change]:
    """Return the changes that are encoded."""
    base = make_base(random_source)
    lines = make_host_lines(random_source)
    hosts = b"".join(lines)
    leaving_lines = [*lines]
    leaving_lines[400] = leaving_lines[400].replace(b" live", b" leaving")
    replaced_lines = [
        *lines[:300],
        *lines[301:],
        b"host-99999 10.9.9.9 7000 svc-001 live\n",
    ]
    base_with_service = (
        base + b"[service svc-910]\nslots = 9\nconnections = 99\nqueued = 20\n"
    )
    many_leaving_lines = [*lines]
    for index in random_source.sample(range(N_HOSTS), k=20):
        many_leaving_lines[index] = many_leaving_lines[index].replace(
            b" live", b" leaving"
        )
    return [
        Change(
            name="base, 1 value",
            before=base,
            after=replace_timeouts(base, random_source, 1),
        ),
        Change(
            name="base, 20 values",
            before=base,
            after=replace_timeouts(base, random_source, 20),
        ),
        Change(name="base, 1 service added", before=base, after=base_with_service),
        Change(name="hosts, 1 leaving", before=hosts, after=b"".join(leaving_lines)),
        Change(name="hosts, 1 replaced", before=hosts, after=b"".join(replaced_lines)),
        Change(
            name="hosts, 20 leaving", before=hosts, after=b"".join(many_leaving_lines)
        ),
    ]


def make_whole_encoder(level: int) -> Encoder:
    """Return an encoder that compresses the complete document."""

    def encode(before: bytes, after: bytes) -> bytes:
        return ZstdCompressor(level=level).compress(after)

    return encode


def make_dictionary_encoder(level: int) -> Encoder:
    """Return an encoder that uses the old document as a compression dictionary."""

    def encode(before: bytes, after: bytes) -> bytes:
        dictionary = ZstdCompressionDict(before, dict_type=DICT_TYPE_RAWCONTENT)
        return ZstdCompressor(
            level=level, dict_data=dictionary, write_dict_id=False
        ).compress(after)

    return encode


def split_sections(text: bytes) -> list[bytes]:
    """Return the sections of a document."""
    return text.split(b"\n[")


def encode_line_diff(before: bytes, after: bytes) -> bytes:
    """Return the compressed difference by lines."""
    return encode_sequence_diff(before.splitlines(), after.splitlines())


def encode_section_diff(before: bytes, after: bytes) -> bytes:
    """Return the compressed difference by sections."""
    return encode_sequence_diff(split_sections(before), split_sections(after))


def encode_sequence_diff(before: list[bytes], after: list[bytes]) -> bytes:
    """Return an edit script between two sequences, compressed by zstd or zlib.

    The smaller of the two results is returned.
    """
    matcher = SequenceMatcher(a=before, b=after, autojunk=False)
    edit_script = []
    for tag, first, last, start, end in matcher.get_opcodes():
        if tag != "equal":
            edit_script.append(
                b"%d,%d\n" % (first, last) + b"\n".join(after[start:end])
            )
    text = b"\n".join(edit_script)
    return min(ZstdCompressor(level=19).compress(text), compress(text, 9), key=len)


def encode_adopted(before: bytes, after: bytes) -> bytes:
    """Return the encoding that the system uses."""
    document = make_document(key="base", content=after)
    base = make_document(key="base", content=before)
    return encode_document(document, base=base).content


# Compared encodings by their name in the output.
ENCODERS: dict[str, Encoder] = {
    "zstd 3, whole": make_whole_encoder(3),
    "zstd 19, whole": make_whole_encoder(19),
    "zstd 1, dictionary": make_dictionary_encoder(1),
    "zstd 3, dictionary": make_dictionary_encoder(3),
    "zstd 6, dictionary": make_dictionary_encoder(6),
    "zstd 9, dictionary": make_dictionary_encoder(9),
    "zstd 19, dictionary": make_dictionary_encoder(19),
    "line diff": encode_line_diff,
    "section diff": encode_section_diff,
    "adopted": encode_adopted,
}


def measure(encoder: Encoder, change: Change) -> tuple[int, float]:
    """Return the size of an encoded change in bytes and its CPU time in ms."""
    n_repeats = 1 if "diff" in encoder.__name__ else N_REPEATS
    started_at = perf_counter()
    for _ in range(n_repeats):
        encoded = encoder(change.before, change.after)
    return len(encoded), (perf_counter() - started_at) / n_repeats * MS_PER_S


def measure_update(change: Change) -> int:
    """Return the size in bytes of all messages that carry a change."""
    bundles = [
        make_bundle(
            kind=BundleKind.CONFIG,
            generation=1,
            revision=revision,
            documents=(make_document(key="base", content=content),),
        )
        for revision, content in ((100_000, change.before), (100_001, change.after))
    ]
    codec = MessageCodec(message_types=CONTROL_MESSAGE_TYPES)
    parts = encode_update(bundles[1], base=bundles[0])
    return sum(len(codec.encode(part)) for part in parts)


def main() -> None:
    """Print one JSON object for each change and encoding, and one for each change."""
    for change in make_changes(Random(7)):
        sizes = {}
        for name, encoder in ENCODERS.items():
            n_bytes, time_ms = measure(encoder, change)
            sizes[name] = n_bytes
            print(
                json.dumps(
                    {
                        "measure": "delta_encoding",
                        "change": change.name,
                        "document_bytes": len(change.after),
                        "encoding": name,
                        "bytes": n_bytes,
                        "cpu_ms": round(time_ms, 2),
                    }
                )
            )
        print(
            json.dumps(
                {
                    "measure": "delta_encoding_ratio",
                    "change": change.name,
                    "adopted_bytes": sizes["adopted"],
                    "smallest_bytes": min(sizes.values()),
                    "ratio": round(sizes["adopted"] / min(sizes.values()), 2),
                    "message_bytes": measure_update(change),
                }
            )
        )


if __name__ == "__main__":
    main()
