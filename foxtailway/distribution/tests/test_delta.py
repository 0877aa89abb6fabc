import unittest
from dataclasses import replace
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st
from zstandard import ZstdCompressor

from foxtailway.common import FailureKind
from foxtailway.distribution.assembly import Staging, UpdateAssembly
from foxtailway.distribution.delta import (
    MAX_DOCUMENT_BYTES,
    UpdateEncoder,
    decode_document,
    encode_document,
    encode_update,
)
from foxtailway.distribution.message import EncodedDocument, Encoding
from foxtailway.distribution.tests.support import make_config
from foxtailway.model import Bundle, BundleKind, make_bundle, make_document

CONTENTS = st.dictionaries(
    st.sampled_from(["base", "overlay/a", "overlay/b", "secret/c"]),
    st.sampled_from([b"", b"x", b"line\n" * 900, b"line\n" * 899 + b"other\n"]),
)


def make_bundle_of(contents: dict[str, bytes], revision: int) -> Bundle:
    documents = [
        make_document(key=key, content=content) for key, content in contents.items()
    ]
    return make_bundle(
        kind=BundleKind.CONFIG,
        generation=1,
        revision=revision,
        documents=documents,
    )


def make_large_bundle() -> Bundle:
    random_source = Random(3)
    contents = {
        f"secret/{index}": random_source.randbytes(90_000) for index in range(4)
    }
    return make_bundle_of(contents, 1)


class UpdateAssemblyTest(unittest.TestCase):
    """Updates lead to exactly the announced version or fail."""

    def assemble(
        self, parts: tuple, *, base: Bundle | None, staging: Staging
    ) -> Bundle | None:
        assembly = UpdateAssembly(parts[0], base=base, peer="peer")
        for part in parts:
            result = assembly.add(part, staging)
            if result.is_error():
                return result.error.kind
        return result.ok

    @settings(max_examples=60, deadline=None)
    @given(before=st.none() | CONTENTS, after=CONTENTS)
    def test_an_update_leads_from_one_version_to_the_other(
        self, before: dict | None, after: dict
    ) -> None:
        base = None if before is None else make_bundle_of(before, 1)
        bundle = make_bundle_of(after, 2)
        parts = encode_update(bundle, base=base)
        self.assertEqual(self.assemble(parts, base=base, staging=Staging()), bundle)

    def test_an_interrupted_transfer_resumes(self) -> None:
        bundle = make_large_bundle()
        encoder = UpdateEncoder()
        parts = encoder.encode(bundle, base=None, staged=frozenset())
        self.assertGreater(len(parts), 1)
        staging = Staging()
        self.assertIsNone(self.assemble(parts[:1], base=None, staging=staging))
        staged = frozenset(staging.documents)
        rest = encoder.encode(bundle, base=None, staged=staged)
        omitted = [
            document
            for part in rest
            for document in part.documents
            if document.encoding is Encoding.STAGED
        ]
        self.assertEqual(len(omitted), len(parts[0].documents))
        self.assertEqual(self.assemble(rest, base=None, staging=staging), bundle)

    def test_content_of_another_version_fails(self) -> None:
        parts = encode_update(make_config(2), base=None)
        wrong = tuple(replace(part, version=make_config(3).version) for part in parts)
        kind = self.assemble(wrong, base=None, staging=Staging())
        self.assertIs(kind, FailureKind.DIGEST_MISMATCH)

    def test_repeated_and_empty_parts_are_refused(self) -> None:
        part = encode_update(make_config(2), base=None)[0]
        twice = replace(part, documents=part.documents[:1] * 2)
        empty = replace(part, documents=())
        for wrong in (twice, empty):
            kind = self.assemble((wrong,), base=None, staging=Staging())
            self.assertIs(kind, FailureKind.INVALID)

    def test_a_relay_forwards_what_it_received(self) -> None:
        sender, relay = UpdateEncoder(), UpdateEncoder()
        base, bundle = make_config(1), make_config(2)
        parts = sender.encode(bundle, base=base, staged=frozenset())
        relay.store(parts)
        for _ in range(3):
            forwarded = relay.encode(bundle, base=base, staged=frozenset())
            self.assertIs(forwarded, parts)
        self.assertEqual((sender.n_encoded, relay.n_encoded), (1, 0))


class DecodeDocumentTest(unittest.TestCase):
    """Documents that are oversized, corrupt or of another digest are refused."""

    def fail(self, encoded: EncodedDocument) -> FailureKind:
        result = decode_document(encoded, base=None, peer="peer")
        self.assertTrue(result.is_error())
        return result.error.kind

    def encode(self, content: bytes) -> EncodedDocument:
        document = make_document(key="base", content=content)
        return encode_document(document, base=None)

    def test_a_decompression_bomb_is_refused(self) -> None:
        bomb = self.encode(bytes(MAX_DOCUMENT_BYTES + 1))
        self.assertLess(len(bomb.content), 1000)
        self.assertIs(self.fail(bomb), FailureKind.TOO_LARGE)

    def test_a_bomb_of_unknown_size_is_refused(self) -> None:
        compressor = ZstdCompressor(write_content_size=False).compressobj()
        content = compressor.compress(bytes(64 * MAX_DOCUMENT_BYTES))
        content += compressor.flush()
        bomb = replace(self.encode(b""), content=content)
        self.assertIs(self.fail(bomb), FailureKind.TOO_LARGE)

    def test_a_wrong_digest_is_refused(self) -> None:
        other = replace(self.encode(b"one"), digest=self.encode(b"two").digest)
        self.assertIs(self.fail(other), FailureKind.DIGEST_MISMATCH)

    def test_invalid_content_is_refused(self) -> None:
        garbage = replace(self.encode(b"one"), content=b"garbage")
        self.assertIs(self.fail(garbage), FailureKind.INVALID)

    def test_a_patch_without_base_is_refused(self) -> None:
        patch = replace(self.encode(b"one"), encoding=Encoding.PATCH)
        self.assertIs(self.fail(patch), FailureKind.INVALID)
