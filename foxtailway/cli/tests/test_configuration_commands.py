import tempfile
import unittest
from argparse import ArgumentParser
from contextlib import redirect_stderr, redirect_stdout
from io import BytesIO, StringIO, TextIOWrapper
from pathlib import Path

from foxtailway.cli.check import CheckCommand
from foxtailway.cli.command import Command, ExitCode
from foxtailway.cli.diff import DiffCommand
from foxtailway.cli.render import RenderCommand
from foxtailway.config.tests.documents import BASE, NORTH


class ConfigurationCommandsTest(unittest.TestCase):
    def setUp(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = Path(directory.name)
        self.base = self.write("base.ini", BASE)
        self.north = self.write("north.ini", NORTH)

    def write(self, name: str, text: str) -> str:
        path = self.directory / name
        path.parent.mkdir(exist_ok=True)
        path.write_text(text)
        return str(path)

    def run_command(self, command: Command, *arguments: str) -> tuple[ExitCode, str]:
        parser = ArgumentParser()
        command.configure(parser)
        output = TextIOWrapper(BytesIO(), encoding="ascii")
        with redirect_stdout(output), redirect_stderr(StringIO()):
            code = command.run(parser.parse_args(arguments))
        output.flush()
        return code, output.buffer.getvalue().decode()

    def check(self, *arguments: str) -> tuple[ExitCode, str]:
        return self.run_command(CheckCommand(), *arguments)

    def diff(self, *arguments: str) -> tuple[ExitCode, str]:
        return self.run_command(DiffCommand(), *arguments)

    def test_check_accepts_valid_files(self) -> None:
        code, output = self.check(self.base, "--overlay", self.north)
        self.assertEqual(code, ExitCode.OK, output)
        self.assertEqual(self.check(str(self.directory))[0], ExitCode.OK)

    def test_check_prints_every_finding_with_file_and_line(self) -> None:
        """Characters that the terminal cannot encode must not end the command."""
        base = self.write("bad.ini", BASE.replace("GET", "GOT").replace("= no", "="))
        south = self.write("south.ini", "[route slots]\ntimeout = 9s\n")
        west = self.write("wëst.ini", NORTH)
        code, output = self.check(base, "--overlay", south, west)
        self.assertEqual(code, ExitCode.FINDING)
        lines = output.splitlines()
        self.assertEqual(len(lines), 4, output)
        self.assertIn(f"{base}:23: route slots.methods: 'GOT' is not a method", output)
        self.assertIn(f"{base}:31: route payments.idempotent: ''", output)
        self.assertIn(f"{south}:2: route slots.timeout: the value is outside", output)
        self.assertIn("there is no site 'w\\xebst'", output)

    def test_check_refuses_wrong_usage(self) -> None:
        other = self.write("copy/north.ini", NORTH)
        missing = str(self.directory / "none.ini")
        for arguments in (
            (missing,),
            (str(self.directory / "copy"),),
            (self.base, "--overlay", missing),
            (self.base, "--overlay", self.north, "--overlay", other),
        ):
            self.assertEqual(self.check(*arguments)[0], ExitCode.USAGE, arguments)

    def test_render_gives_a_base_file_with_the_overlay_merged(self) -> None:
        arguments = (self.base, "--overlay", self.north)
        code, output = self.run_command(RenderCommand(), *arguments)
        self.assertEqual(code, ExitCode.OK)
        self.assertIn("timeout = 2s", output.partition("[route payments]")[2])
        rendered = self.write("rendered/base.ini", output)
        self.assertEqual(self.check(rendered)[0], ExitCode.OK)
        again = self.run_command(RenderCommand(), rendered, "--overlay", self.north)
        self.assertEqual(again[0], ExitCode.FINDING)
        code, output = self.diff(self.base, rendered, "--overlay-old", self.north)
        self.assertIn("south: route payments.timeout: 800ms -> 2s", output)
        self.assertNotIn("north", output)

    def test_diff_groups_changes_by_site(self) -> None:
        edited = BASE.replace("slots = 10", "slots = 12").replace("5s", "4000ms")
        new = self.write("new/base.ini", edited)
        self.write("new/south.ini", "[route payments]\ntimeout = 0.8s\n")
        code, output = self.diff(str(self.directory), str(Path(new).parent))
        self.assertEqual(code, ExitCode.OK)
        expected = [
            "north: route payments.timeout: 2s -> 800ms",
            "all sites: service slots.slots: 10 -> 12",
            "all sites: overlays.route.timeout: 100ms .. 5s -> 100ms .. 4000ms",
        ]
        self.assertEqual(sorted(output.splitlines()), sorted(expected))

    def test_diff_reports_sections_and_a_generation_that_decreases(self) -> None:
        edited = BASE.replace("generation = 3", "generation = 2")
        new = self.write("new.ini", edited.replace("[route slots]", "[route pond]"))
        code, output = self.diff(self.base, new)
        self.assertEqual(code, ExitCode.FINDING)
        self.assertIn("all sites: route slots: removed section", output)
        self.assertIn("all sites: route pond: added section", output)
        self.assertIn("generation decreases; allowed: 3 or more", output)

    def test_diff_refuses_a_bad_side(self) -> None:
        bad = self.write("bad.ini", "")
        code, output = self.diff(self.base, bad)
        self.assertEqual(code, ExitCode.FINDING)
        self.assertIn(f"{bad}:1: the file is empty", output)
