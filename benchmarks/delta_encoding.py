"""Size and processor time of encodings of one change."""

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

N_SERVICES = 910
N_HOSTS = 875
N_REPEATS = 5
MS_PER_S = 1_000
Encoder = Callable[[bytes, bytes], bytes]


@dataclass(frozen=True, slots=True, kw_only=True)
class Change:
    """Hold a document before and after an edit."""

    name: str
    before: bytes
    after: bytes


def make_base(random_source: Random) -> bytes:
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
    address = f"10.{random_source.randrange(256)}.{index // 250}.{index % 250}"
    service = f"svc-{random_source.randrange(N_SERVICES):03}"
    return f"host-{index:05} {address} 7000 {service} live\n".encode()


def make_host_lines(random_source: Random) -> list[bytes]:
    return [make_host_line(index, random_source) for index in range(N_HOSTS)]


def replace_numbers(text: bytes, random_source: Random, n_edits: int) -> bytes:
    lines = text.splitlines(keepends=True)
    numbered = [
        index for index, line in enumerate(lines) if line.startswith(b"timeout")
    ]
    for index in random_source.sample(numbered, k=n_edits):
        lines[index] = b"timeout = %d ms\n" % random_source.randrange(100, 4000)
    return b"".join(lines)


def make_changes(random_source: Random) -> list[Change]:
    base = make_base(random_source)
    lines = make_host_lines(random_source)
    hosts = b"".join(lines)
    left = [*lines]
    left[400] = left[400].replace(b" live", b" leaving")
    moved = [*lines[:300], *lines[301:], b"host-99999 10.9.9.9 7000 svc-001 live\n"]
    added = base + b"[service svc-910]\nslots = 9\nconnections = 99\nqueued = 20\n"
    many = [*lines]
    for index in random_source.sample(range(N_HOSTS), k=20):
        many[index] = many[index].replace(b" live", b" leaving")
    return [
        Change(
            name="base, 1 value",
            before=base,
            after=replace_numbers(base, random_source, 1),
        ),
        Change(
            name="base, 20 values",
            before=base,
            after=replace_numbers(base, random_source, 20),
        ),
        Change(name="base, 1 service added", before=base, after=added),
        Change(name="hosts, 1 leaving", before=hosts, after=b"".join(left)),
        Change(name="hosts, 1 replaced", before=hosts, after=b"".join(moved)),
        Change(name="hosts, 20 leaving", before=hosts, after=b"".join(many)),
    ]


def encode_whole(level: int) -> Encoder:
    def encode(before: bytes, after: bytes) -> bytes:
        return ZstdCompressor(level=level).compress(after)

    return encode


def encode_with_dictionary(level: int) -> Encoder:
    def encode(before: bytes, after: bytes) -> bytes:
        dictionary = ZstdCompressionDict(before, dict_type=DICT_TYPE_RAWCONTENT)
        return ZstdCompressor(
            level=level, dict_data=dictionary, write_dict_id=False
        ).compress(after)

    return encode


def split_sections(text: bytes) -> list[bytes]:
    return text.split(b"\n[")


def encode_line_diff(before: bytes, after: bytes) -> bytes:
    return encode_sequence_diff(before.splitlines(), after.splitlines())


def encode_section_diff(before: bytes, after: bytes) -> bytes:
    return encode_sequence_diff(split_sections(before), split_sections(after))


def encode_sequence_diff(before: list[bytes], after: list[bytes]) -> bytes:
    matcher = SequenceMatcher(a=before, b=after, autojunk=False)
    script = []
    for tag, first, last, start, end in matcher.get_opcodes():
        if tag != "equal":
            script.append(b"%d,%d\n" % (first, last) + b"\n".join(after[start:end]))
    text = b"\n".join(script)
    return min(ZstdCompressor(level=19).compress(text), compress(text, 9), key=len)


def encode_adopted(before: bytes, after: bytes) -> bytes:
    document = make_document(key="base", content=after)
    base = make_document(key="base", content=before)
    return encode_document(document, base=base).content


ENCODERS: dict[str, Encoder] = {
    "zstd 3, whole": encode_whole(3),
    "zstd 19, whole": encode_whole(19),
    "zstd 1, dictionary": encode_with_dictionary(1),
    "zstd 3, dictionary": encode_with_dictionary(3),
    "zstd 6, dictionary": encode_with_dictionary(6),
    "zstd 9, dictionary": encode_with_dictionary(9),
    "zstd 19, dictionary": encode_with_dictionary(19),
    "line diff": encode_line_diff,
    "section diff": encode_section_diff,
    "adopted": encode_adopted,
}


def measure(encoder: Encoder, change: Change) -> tuple[int, float]:
    n_repeats = 1 if "diff" in encoder.__name__ else N_REPEATS
    start_s = perf_counter()
    for _ in range(n_repeats):
        encoded = encoder(change.before, change.after)
    return len(encoded), (perf_counter() - start_s) / n_repeats * MS_PER_S


def measure_update(change: Change) -> int:
    """Return the size of the whole message that carries the change."""
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
