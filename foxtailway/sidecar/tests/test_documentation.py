import re
from pathlib import Path
from unittest import TestCase

ROOT = Path(__file__).resolve().parents[3]
EVENT_CALL = re.compile(r"(?:log|self)\.write\(\s*\"([a-z_]+)\"", re.MULTILINE)
SIGNAL_EVENT = re.compile(r"log\.write, \"([a-z_]+)\"")


class LogPageTest(TestCase):
    def test_every_event_is_listed_and_every_listed_event_exists(self) -> None:
        written: set[str] = set()
        for package in ("sidecar", "platform"):
            for path in (ROOT / "foxtailway" / package).glob("*.py"):
                text = path.read_text()
                written.update(EVENT_CALL.findall(text), SIGNAL_EVENT.findall(text))
        page = (ROOT / "docs" / "LOGS.md").read_text()
        rows = [line for line in page.splitlines() if line.startswith("| `")]
        listed = {
            name
            for row in rows
            for name in re.findall(r"`([a-z_]+)`", row.split("|")[1])
        }
        self.assertEqual(written, listed)
