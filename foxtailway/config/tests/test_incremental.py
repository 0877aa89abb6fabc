"""Tests of reuse in the compiler against compilation in full.

A section, overlay check or host that is reused although it depends on something
that changed makes a compiler accept, reject or compile a version differently from
one without a previous version.
"""

import unittest
from dataclasses import dataclass
from unittest.mock import patch

from hypothesis import given, settings
from hypothesis import strategies as st

from foxtailway.config import SnapshotCompiler
from foxtailway.config.tests.documents import (
    BASE,
    CONFIG,
    HOSTS,
    make_config_bundle,
    make_hosts_bundle,
)
from foxtailway.config.tests.naive_compiler import compile_naively
from foxtailway.config.tests.test_findings import CASES, OVERLAY_CASES

CONFIG_LINES = (
    "",
    "# note",
    "nonsense",
    "[broken",
    "  continued",
    "  [route slots]",
    "[mesh]",
    "[site south]",
    "[site west]",
    "region = west",
    "[service slots]",
    "[service extra]",
    "slots = 12",
    "slots = 200",
    "secret = token",
    "secret = other",
    "[route extra]",
    "[route slots]",
    "path = /slots",
    "path = /slots/x",
    "methods = GET HEAD",
    "cluster = payments",
    "cluster = absent",
    "idempotent = yes",
    "timeout = 3s",
    "timeout = 3",
    "idempotency_window = 2s",
    "max_hops = 4",
    "[overlays]",
    "mesh.max_hops = 2 .. 8",
    "route.timeout = 1s .. 3s",
    "[route extra]\npath = /x\nmethods = GET\ncluster = slots\nidempotent = yes",
    "[service extra]\nslots = 3",
    "[site west]\nregion = coast",
)
HOST_LINES = (
    "",
    "[]",
    '["n1","10.0.0.1",7000,"slots","leaving"]',
    '["n1","10.0.0.1",7000,"slots","live"]',
    '["n3","10.0.0.3",7000,"extra","live"]',
    '["n4","10.0.0.4",7000,"payments","live"]',
    '["s1","10.0.1.1",7000,"slots","live"]',
    '["s2","10.0.1.2",7000,"payments","leaving"]',
)
SUBSTITUTIONS = (
    ("base", "[site south]", "[site west]"),
    ("base", "[site west]", "[site south]"),
    ("base", "slots = 10", "slots = 10\nconnections = 12"),
    ("base", "connections = 12", "connections = 30"),
    ("base", "100ms .. 5s", "100ms .. 1s"),
    ("base", "100ms .. 1s", "100ms .. 5s"),
    ("base", "idempotent = no", "idempotent = yes"),
    ("base", "[service slots]", "# moved\n\n[service slots]"),
    ("base", "[route payments]", "[route pay]"),
    ("base", "[route pay]", "[route payments]"),
    ("overlay/north", "timeout = 2s", "timeout = 4s\n[service slots]\nslots = 15"),
    ("overlay/north", "timeout = 4s", "timeout = 900ms"),
    ("overlay/south", "# none", "[service slots]\nslots = 15"),
    ("overlay/south", "slots = 15", "slots = 9"),
    ("overlay/south", "slots = 9", "slots = 21"),
    ("hosts/north", "live", "leaving"),
    ("hosts/north", "leaving", "live"),
)
CONFIG_KEYS = ("base", "base", "base", "overlay/north", "overlay/south", "overlay/west")
HOSTS_KEYS = ("hosts/north", "hosts/south", "hosts/west")


@dataclass(frozen=True, slots=True, kw_only=True)
class Edit:
    """Replacement of lines of a document.

    A kept edit stays in the documents although the compiler rejects it, so that
    later edits start from an invalid version.
    """

    key: str
    position: int
    n_removed: int
    line: str
    is_kept_when_invalid: bool

    def apply(self, contents: dict[str, str]) -> dict[str, str]:
        lines = contents.get(self.key, "").split("\n")
        start = self.position % len(lines)
        lines[start : start + self.n_removed] = [self.line]
        return {**contents, self.key: "\n".join(lines)}


@dataclass(frozen=True, slots=True, kw_only=True)
class Substitution:
    """Replacement of the first occurrence of a text in a document."""

    texts: tuple[str, str, str]
    is_kept_when_invalid: bool

    def apply(self, contents: dict[str, str]) -> dict[str, str]:
        key, old, new = self.texts
        return {**contents, key: contents[key].replace(old, new, 1)}


def edits(keys: tuple[str, ...], lines: tuple[str, ...]) -> st.SearchStrategy[Edit]:
    return st.builds(
        Edit,
        key=st.sampled_from(keys),
        position=st.integers(0, 40),
        n_removed=st.integers(0, 2),
        line=st.sampled_from(lines),
        is_kept_when_invalid=st.sampled_from((False, False, False, True)),
    )


SUBSTITUTION_EDITS = st.builds(
    Substitution,
    texts=st.sampled_from(SUBSTITUTIONS),
    is_kept_when_invalid=st.sampled_from((False, False, False, True)),
)
EDITS = (
    SUBSTITUTION_EDITS
    | edits(CONFIG_KEYS, CONFIG_LINES)
    | edits(HOSTS_KEYS, HOST_LINES)
)


class IncrementalCompilerTest(unittest.TestCase):
    @settings(max_examples=50, deadline=None)
    @given(st.lists(EDITS, min_size=1, max_size=12))
    def test_same_as_naive_and_as_fresh_compiler(self, sequence) -> None:
        compiler = SnapshotCompiler(site="north")
        contents = {**CONFIG, **HOSTS, "overlay/south": "# none"}
        self.compare(compiler, contents, 0)
        for revision, edit in enumerate(sequence, start=1):
            edited = edit.apply(contents)
            is_valid = self.compare(compiler, edited, revision)
            if is_valid or edit.is_kept_when_invalid:
                contents = edited

    def compare(self, compiler, contents, revision: int) -> bool:
        config = {key: contents[key] for key in contents if "hosts/" not in key}
        hosts = {key: contents[key] for key in contents if "hosts/" in key}
        bundles = {
            "config": make_config_bundle(config, revision),
            "hosts": make_hosts_bundle(hosts, revision),
        }
        before = compiler.state
        result = compiler.compile(**bundles)
        naive = compile_naively(site="north", **bundles)
        self.assertEqual(result.is_ok(), naive is not None, result)
        full = SnapshotCompiler(site="north").compile(**bundles)
        if result.is_error():
            self.assertEqual(result.error, full.error)
            self.assertIs(compiler.state, before)
            return False
        self.assertEqual(result.ok, naive)
        self.assertEqual(result.ok, full.ok)
        return True

    def test_bad_edits_after_a_good_version(self) -> None:
        bases = [BASE.replace(case.old, case.new, 1) for case in CASES]
        versions = [{**CONFIG, "base": base} for base in bases]
        versions += [{**CONFIG, "overlay/north": text} for text, _ in OVERLAY_CASES]
        compiler = SnapshotCompiler(site="north")
        self.compare_findings(compiler, CONFIG)
        for version in versions:
            self.assertGreater(self.compare_findings(compiler, version), 0)

    def test_limit_of_sections_after_a_good_version(self) -> None:
        edited = BASE.replace("[site south]", "[site west]\nregion = x\n[site south]")
        compiler = SnapshotCompiler(site="north")
        with patch("foxtailway.config.document_reader.MAX_SECTIONS", 8):
            self.assertEqual(self.compare_findings(compiler, CONFIG), 0)
            version = {**CONFIG, "base": edited}
            self.assertGreater(self.compare_findings(compiler, version), 0)

    def compare_findings(self, compiler, contents) -> int:
        bundles = {
            "config": make_config_bundle(contents),
            "hosts": make_hosts_bundle(HOSTS),
        }
        result = compiler.compile(**bundles)
        full = SnapshotCompiler(site="north").compile(**bundles)
        if full.is_ok():
            self.assertEqual(result.ok, full.ok)
            return 0
        self.assertEqual(result.error, full.error)
        return len(full.error.findings)

    def test_unchanged_parts_are_reused(self) -> None:
        compiler = SnapshotCompiler(site="north")
        hosts = make_hosts_bundle(HOSTS)
        first = compiler.compile(config=make_config_bundle(CONFIG), hosts=hosts).ok
        edited = {**CONFIG, "base": CONFIG["base"].replace("slots = 10", "slots = 11")}
        second = compiler.compile(config=make_config_bundle(edited), hosts=hosts).ok
        self.assertEqual(second.clusters["slots"].n_slots, 11)
        self.assertIs(second.clusters["payments"], first.clusters["payments"])
        self.assertIs(second.routes[0], first.routes[0])
        self.assertIs(second.endpoints["slots"], first.endpoints["slots"])

    def test_edited_overlay_is_checked_again(self) -> None:
        compiler = SnapshotCompiler(site="south")
        hosts = make_hosts_bundle(HOSTS)
        compiler.compile(config=make_config_bundle(CONFIG), hosts=hosts)
        edited = {**CONFIG, "overlay/north": "[route payments]\ntimeout = 6s\n"}
        rejection = compiler.compile(
            config=make_config_bundle(edited), hosts=hosts
        ).error
        self.assertEqual(rejection.findings[0].line, 2)

    def test_edited_overlay_of_own_site_applies(self) -> None:
        compiler = SnapshotCompiler(site="north")
        hosts = make_hosts_bundle(HOSTS)
        compiler.compile(config=make_config_bundle(CONFIG), hosts=hosts)
        edited = {**CONFIG, "overlay/north": "[route payments]\ntimeout = 3s\n"}
        snapshot = compiler.compile(config=make_config_bundle(edited), hosts=hosts).ok
        self.assertEqual(snapshot.routes[0].timeout_s, 3.0)
