import unittest
from dataclasses import dataclass

from hypothesis import given, settings
from hypothesis import strategies as st

from foxtailway.config.configuration import read_configuration
from foxtailway.config.tests.documents import BASE, CONFIG, NORTH, make_config_bundle


@dataclass(frozen=True, slots=True, kw_only=True)
class EditCase:
    """An edit of the base file and the start of each expected finding."""

    old: str
    new: str
    expected: tuple[str, ...]


ROUTE = "[route copy]\npath = /slots\nmethods = POST GET\ncluster = slots\n"
CASES = (
    EditCase(
        old="[service slots]",
        new="[sevice slots]",
        expected=(
            "base:15: sevice slots: the section is unknown; allowed: [mesh], [site NAM",
            "base:24: route slots.cluster: there is no service 'slots'; allowed: the n",
        ),
    ),
    EditCase(
        old="timeout = 800ms",
        new="timeout = 800",
        expected=(
            "base:32: route payments.timeout: 800 has no unit; allowed: 1ms to 5min, ",
        ),
    ),
    EditCase(
        old="timeout = 800ms",
        new="timeout = 6min",
        expected=("base:32: route payments.timeout: 6min is too large; allowed: 1ms",),
    ),
    EditCase(
        old="timeout = 800ms",
        new="timeout = 1s\ntimeout = 2s\nTimeout = 3s\nretries = 6",
        expected=(
            "base:33: route payments.timeout: the key is a duplicate; allowed: one su",
            "base:34: route payments.Timeout: the key is unknown; allowed: path, meth",
            "base:35: route payments.retries: 6 is too large; allowed: a whole number",
        ),
    ),
    EditCase(
        old="[site south]\nregion = inland",
        new="[site north]\nregion = inland",
        expected=(
            "base:12: site north: the section is a duplicate; allowed: one such",
        ),
    ),
    EditCase(
        old="methods = GET\n",
        new="",
        expected=(
            "base:21: route slots.methods: the key is required; allowed: distin",
        ),
    ),
    EditCase(
        old="[route slots]",
        new=f"{ROUTE}idempotent = yes\n[route slots]",
        expected=(
            "base:27: route slots.path: route 'copy' has the same path for GET;",
        ),
    ),
    EditCase(
        old="slots = 10",
        new="slots = 101",
        expected=("base:16: service slots.slots: there are more slots than connectio",),
    ),
    EditCase(
        old="timeout = 800ms",
        new="idempotency_window = 1s",
        expected=(
            (
                "base:32: route payments.idempotency_window: the window is shorter than"
                " the timeout; allowed: "
            ),
            (
                "overlay/north:2: route payments.timeout: the window is shorter than"
                " the timeout after merging; allowed: "
            ),
        ),
    ),
    EditCase(
        old="[mesh]",
        new="stray = 1\n[mesh]",
        expected=(
            "base:1: the line is outside any section; allowed: comments, 'key = ",
        ),
    ),
    EditCase(
        old="name = pond",
        new="name = pond\nnonsense\n[site x] y",
        expected=(
            (
                "base:3: the line is not 'key = value'; allowed: comments,"
                " 'key = value' and a "
            ),
            (
                "base:4: the section header is malformed; allowed: comments,"
                " 'key = value' and a "
            ),
            "base:5: site x.generation: the key is unknown; allowed: region",
            "base:4: site x.region: the key is required; allowed: 1 to 63 characters o",
            "base:1: mesh.generation: the key is required; allowed: a whole number fro",
        ),
    ),
    EditCase(
        old="[route slots]",
        new="  [route slots]",
        expected=(
            (
                "base:21: the section header is malformed; allowed: comments,"
                " 'key = value' and a "
            ),
        ),
    ),
    EditCase(
        old="route.timeout = 100ms .. 5s",
        new="route.timeout = 5s .. 100ms\nroute.path = /a .. /b",
        expected=(
            "base:6: overlays.route.timeout: the bounds are reversed; allowed: the sm",
            "base:7: overlays.route.path: overlays cannot change this key; allowed:",
            (
                "overlay/north:2: route payments.timeout: the base file does not allow"
                " overlays to change the key; allowed: "
            ),
        ),
    ),
    EditCase(
        old="secret = token",
        new="secret = hunter2/x",
        expected=(
            "base:19: service payments.secret: the value is not a name; allowed:",
        ),
    ),
    EditCase(
        old="[site north]",
        new="[DEFAULT]",
        expected=(
            "base:9: DEFAULT: the section is unknown; allowed: [mesh], [site NAME], [s",
            "overlay/north:1: there is no site 'north'; allowed: an overlay for a sect",
        ),
    ),
    EditCase(
        old="[mesh]\nname = pond\ngeneration = 3\n",
        new="",
        expected=("base:1: mesh: the section is required; allowed: a section [mesh]",),
    ),
)
OVERLAY_CASES = (
    (
        NORTH.replace("2s", "6s"),
        "2: route payments.timeout: the value is outside the bou",
    ),
    (
        f"{NORTH}retries = 0",
        (
            "3: route payments.retries: the base file does not allow"
            " overlays to change the key; allowed: "
        ),
    ),
    (
        f"{NORTH}path = /x",
        (
            "3: route payments.path: the base file does not allow"
            " overlays to change the key; allowed: "
        ),
    ),
    (f"{NORTH}\n[route none]", "4: route none: the base file has no such section"),
    (f"{NORTH}\n{NORTH}", "4: route payments: the section is a duplicate; allowed:"),
    (f"{NORTH}\n[site north]", "4: site north: the section is unknown; allowed: [mesh"),
    (b"[mesh]\n\nmax_hops = \xff1", "3: the bytes are not UTF-8; allowed: sections"),
    (b" \n", "1: the file is empty; allowed: sections in UTF-8, 1 to 1000000 bytes"),
    (b"#" * 1_000_001, "1: the file has more than 1000000 bytes; allowed: sections"),
    ("\n" * 1_002 + "a", "1: the section has more than 1000 lines; allowed: comm"),
)
CHARACTERS = st.sampled_from(list("[]=:#;%\n\r\t\0 ..aé0\ud7ff") + ["\n[", "\n[route "])


def list_findings(contents) -> list[str]:
    bundle = make_config_bundle(contents)
    configuration = read_configuration(bundle.documents, previous=None)
    return [str(finding) for finding in configuration.findings]


class FindingsTest(unittest.TestCase):
    def assert_findings(self, found, expected) -> None:
        self.assertEqual(len(found), len(expected), found)
        for start in expected:
            self.assertTrue(any(text.startswith(start) for text in found), found)

    def test_valid_configuration_has_none(self) -> None:
        self.assertEqual(list_findings(CONFIG), [])

    def test_edits_of_the_base_file(self) -> None:
        for case in CASES:
            with self.subTest(new=case.new):
                self.assertIn(case.old, BASE)
                contents = {**CONFIG, "base": BASE.replace(case.old, case.new, 1)}
                self.assert_findings(list_findings(contents), case.expected)

    def test_edits_of_an_overlay(self) -> None:
        for content, expected in OVERLAY_CASES:
            with self.subTest(expected=expected):
                found = list_findings({**CONFIG, "overlay/north": content})
                self.assert_findings(found, [f"overlay/north:{expected}"])

    def test_unknown_site_and_document(self) -> None:
        found = list_findings({**CONFIG, "overlay/west": NORTH, "secret": "x"})
        expected = [
            "secret:1: the key is unknown; allowed: base, overlay/SITE and secret/NAME",
            "overlay/west:1: there is no site 'west'",
        ]
        self.assert_findings(found, expected)

    def test_excessive_documents_are_not_read_to_the_end(self) -> None:
        headers = "".join(f"[x{index}]\n" for index in range(2_000))
        found = list_findings({**CONFIG, "overlay/north": headers})
        self.assertEqual(len(found), 1_001)
        self.assertIn("the rest of the file is not read", found[-1])
        services = "".join(f"[service x{index}]\n" for index in range(9_000))
        found = list_findings({**CONFIG, "base": BASE + services})
        self.assertEqual(len(found), 1)

    @settings(max_examples=60, deadline=None)
    @given(
        st.integers(0, len(BASE)),
        st.integers(0, 40),
        st.lists(CHARACTERS, max_size=8).map("".join),
    )
    def test_any_edit_gives_one_printable_line_per_finding(
        self, start, length, inserted
    ) -> None:
        edited = BASE[:start] + inserted + BASE[start + length :]
        for text in list_findings({**CONFIG, "base": edited}):
            self.assertRegex(text, r"^(base|overlay/north):[0-9]+: .+; allowed: .+$")
            self.assertTrue(text.isascii() and text.isprintable(), text)
            self.assertLess(len(text), 1_000)
