import unittest
from pathlib import Path

from foxtailway.config.document_reader import MAX_FINDINGS, MAX_SECTIONS
from foxtailway.config.schema import SECTION_RULES

PAGE = Path("docs/CONFIGURATION.md")


class DocumentationTest(unittest.TestCase):
    def test_page_lists_every_key_with_default_and_range(self) -> None:
        page = PAGE.read_text()
        for kind, section in SECTION_RULES.items():
            header = f"### `[{kind} NAME]`" if section.is_named else f"### `[{kind}]`"
            self.assertIn(f"\n{header}\n", page)
            table = page.partition(f"{header}\n")[2].partition("###")[0]
            rows = [line for line in table.splitlines() if line.startswith("| `")]
            self.assertEqual(len(rows), len(section.keys))
            for key, rule in section.keys.items():
                default = f"`{rule.default}`" if rule.default else "none"
                default = "required" if rule.is_required else default
                overlay = "yes" if rule.is_overlayable else "no"
                row = f"| `{key}` | {default} | {rule.kind.allowed} | {overlay} |"
                self.assertIn(row, table)

    def test_limits(self) -> None:
        page = PAGE.read_text()
        self.assertIn(f"{MAX_SECTIONS:,} sections", page)
        self.assertIn(f"After {MAX_FINDINGS:,} findings", page)
