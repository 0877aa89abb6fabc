import unittest

from hypothesis import given
from hypothesis import strategies as st

from foxtailway.common.ini import parse_ini, read_ini

NAMES = st.text(alphabet="abcXYZ_", min_size=1, max_size=6)
VALUES = st.text(alphabet="abc 0=[]#;", max_size=8).map(str.strip)
SECTIONS = st.dictionaries(NAMES, st.dictionaries(NAMES, VALUES), min_size=1)
FRAGMENTS = st.sampled_from(
    ["[a]", "[b]", "[", "[]", "[ ]", "k = 1", "k =", "= 1", "  more", "", "\0", "x"]
)


def render(sections: dict[str, dict[str, str]]) -> str:
    lines = []
    for name, entries in sections.items():
        lines.append(f"[{name}]")
        lines.extend(f"{key} = {value}" for key, value in entries.items())
    return "\n".join(lines)


class IniTest(unittest.TestCase):
    @given(SECTIONS)
    def test_every_entry_and_its_line_is_kept(self, sections: dict) -> None:
        text = render(sections)
        lines = text.split("\n")
        document = parse_ini(text, source="file")
        self.assertEqual(document.findings, ())
        read = {
            name: {key: entry.value for key, entry in section.entries.items()}
            for name, section in document.sections.items()
        }
        self.assertEqual(read, sections)
        for name, section in document.sections.items():
            self.assertEqual(lines[section.line - 1], f"[{name}]")
            for key, entry in section.entries.items():
                self.assertEqual(lines[entry.line - 1], f"{key} = {entry.value}")

    @given(st.lists(FRAGMENTS, max_size=12).map("\n".join) | st.text(max_size=40))
    def test_no_text_raises(self, text: str) -> None:
        document = parse_ini(text, source="file")
        n_lines = len(text.split("\n"))
        for finding in document.findings:
            self.assertIn(finding.line, range(1, n_lines + 1))

    def test_all_faults_are_found_at_once(self) -> None:
        text = "stray\n[a]\nk = 1\nk = 2\nnonsense\n[b]\nm = 1\n[a]\nk = 3\nn = 4"
        document = parse_ini(text, source="base")
        self.assertEqual(
            [(finding.line, finding.section) for finding in document.findings],
            [(1, ""), (4, "a"), (5, ""), (8, "a")],
        )
        self.assertEqual(list(document.sections), ["a", "b"])
        self.assertEqual(list(document.sections["b"].entries), ["m"])

    def test_many_faults_end(self) -> None:
        document = parse_ini("[a]\n" + "k = 1\n" * 500, source="base")
        self.assertIn("too many faults", str(document.findings[0]))
        self.assertEqual(document.sections, {})

    def test_content_that_is_no_text(self) -> None:
        cases = {
            b"": "file:1: empty file",
            b" \n": "file:1: empty file",
            b"[a]\nk = \xff": "file:2: not UTF-8",
            b"[a]\n" + b"#" * 30: "file:1: 34 bytes; at most 32",
        }
        for content, expected in cases.items():
            document = read_ini(content, source="file", max_size=32)
            self.assertEqual(len(document.findings), 1)
            self.assertTrue(str(document.findings[0]).startswith(expected))

    def test_byte_order_mark_is_accepted(self) -> None:
        document = read_ini(b"\xef\xbb\xbf[a]\r\nk = 1\r\n", source="f", max_size=99)
        self.assertEqual(document.sections["a"].entries["k"].value, "1")
