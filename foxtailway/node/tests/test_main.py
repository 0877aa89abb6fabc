import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

SETTINGS = """
[host]
host_id = one-a-1
address = {address}
zone = one-a
region = one
mesh = small

[upstream]
service = back
port = 8000

[platform]
url = http://127.0.0.1:1
store_region = one
"""
UNASSIGNED_ADDRESS = "192.0.2.1"
TIMEOUT_S = 60


def run_node(settings: str) -> subprocess.CompletedProcess:
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "node.ini"
        path.write_text(settings)
        return subprocess.run(
            [sys.executable, "-m", "foxtailway.node.main", "--settings", str(path)],
            capture_output=True,
            text=True,
            timeout=TIMEOUT_S,
            check=False,
        )


class MainTest(unittest.TestCase):
    def test_an_address_of_another_host_ends_the_node_with_one_line(self) -> None:
        """A node that cannot bind its address must not end with a traceback."""
        ended = run_node(SETTINGS.format(address=UNASSIGNED_ADDRESS))
        self.assertEqual(ended.returncode, 1)
        (line,) = ended.stderr.splitlines()
        self.assertIn('"step":"listen"', line)
        self.assertIn(UNASSIGNED_ADDRESS, line)

    def test_settings_with_findings_are_a_usage_error(self) -> None:
        ended = run_node(SETTINGS.format(address="nowhere"))
        self.assertEqual(ended.returncode, 2)
        self.assertIn("host.address", ended.stderr)
        self.assertNotIn("Traceback", ended.stderr)
