import asyncio
import os
import re
import signal
import subprocess
import sys
from contextlib import redirect_stderr
from io import StringIO
from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import IsolatedAsyncioTestCase, TestCase

from foxtailway.platform.main import EXIT_SETTINGS, SidecarProcess, main
from foxtailway.platform.settings import read_settings
from foxtailway.platform.tests.test_settings import SETTINGS_TEXT
from foxtailway.sidecar.tests.support import LONG_TIMEOUT_S, make_log, wait_until


class CommandLineTest(TestCase):
    def test_missing_settings_file_is_reported(self) -> None:
        with redirect_stderr(StringIO()) as output:
            self.assertEqual(main(["--settings", "/absent/settings.conf"]), 2)
        self.assertIn("/absent/settings.conf", output.getvalue())


class StartTest(TestCase):
    def test_signal_of_changed_settings_during_the_start_ends_no_process(self) -> None:
        """Found by a soak: a process that had just been started ended with SIGHUP."""
        with TemporaryDirectory() as folder:
            path = Path(folder) / "settings.conf"
            os.mkfifo(path)
            process = subprocess.Popen(
                [sys.executable, "-m", "foxtailway.platform", "--settings", str(path)],
                stderr=subprocess.DEVNULL,
            )
            self.addCleanup(process.kill)
            # The process reads its settings as soon as the other end is open.
            with path.open("w") as stream:
                process.send_signal(signal.SIGHUP)
                stream.write("not valid")
            self.assertEqual(process.wait(LONG_TIMEOUT_S), EXIT_SETTINGS)


class SidecarProcessTest(IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "settings.conf"
        text = SETTINGS_TEXT.replace("10.0.0.1:830", "127.0.0.1:0830").replace(
            ":0830", ":"
        )
        for port in ("0", "1", "2", "4"):
            text = text.replace(f"127.0.0.1:{port}\n", "127.0.0.1:0\n")
        self.path.write_text(text.replace("10.9.0.1:8309", "127.0.0.1:1"))
        self.process = SidecarProcess(
            path=str(self.path),
            settings=read_settings(str(self.path)),
            metrics_port=0,
            log=make_log(),
        )

    async def start(self) -> asyncio.Task:
        task = asyncio.create_task(self.process.run())
        await wait_until(lambda: self.process.node.metrics_listener.server is not None)
        return task

    async def test_terminated_process_ends_with_status_zero(self) -> None:
        task = await self.start()
        self.assertFalse(self.process.node.is_ready())
        os.kill(os.getpid(), signal.SIGTERM)
        self.assertEqual(await task, 0)

    async def test_settings_changed_during_the_start_are_applied(self) -> None:
        """A change between the first read and the handler of the signal was missed."""
        text = self.path.read_text()
        self.path.write_text(re.sub(r"(?m)^service=.*$", "service=changed", text))
        os.utime(self.path, ns=(self.process.modified_at_ns,) * 2)
        task = await self.start()
        self.assertEqual(self.process.node.settings.service, "changed")
        os.kill(os.getpid(), signal.SIGTERM)
        await task

    async def test_metrics_are_served(self) -> None:
        node = self.process.node
        node.metrics.count_response("records", 200, 0.02)
        node.metrics.count_refusal("records", "overloaded")
        task = await self.start()
        port = node.metrics_listener.server.sockets[0].getsockname()[1]
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"GET /metrics HTTP/1.1\r\nConnection: close\r\n\r\n")
        text = (await reader.read()).decode()
        writer.close()
        self.assertIn('answers_total{service="records",status="200"} 1', text)
        self.assertIn('bucket{le="0.025",service="records"} 1', text)
        self.assertIn("foxtailway_sidecar_slots_busy 0", text)
        task.cancel()

    async def test_changed_settings_are_applied(self) -> None:
        text = self.path.read_text()
        self.path.write_text(text.replace("service=records", "service=dispatch"))
        self.process.reload()
        self.assertEqual(self.process.node.dispatcher.service, "dispatch")

    async def test_invalid_settings_leave_the_previous_ones(self) -> None:
        self.path.write_text("")
        self.process.reload()
        self.assertEqual(self.process.settings.service, "records")
