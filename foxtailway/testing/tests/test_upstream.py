import asyncio
import json
import subprocess
import sys
import unittest

from tornado.httpclient import (
    AsyncHTTPClient,
    HTTPClientError,
    HTTPRequest,
    HTTPResponse,
)

from foxtailway.sidecar.tests.support import LONG_TIMEOUT_S, wait_until
from foxtailway.testing.upstream import FakeUpstreamServer
from foxtailway.testing.upstream_handlers import CRASH_EXIT_CODE


async def fetch(url: str, **arguments: object) -> HTTPResponse:
    request = HTTPRequest(url, **arguments)
    return await AsyncHTTPClient().fetch(request, raise_error=False)


class FakeUpstreamServerTest(unittest.IsolatedAsyncioTestCase):
    async def start(self, **arguments: object) -> FakeUpstreamServer:
        upstream = FakeUpstreamServer(address="127.0.0.1", **arguments)
        upstream.start()
        self.addAsyncCleanup(upstream.stop)
        return upstream

    async def test_runs_are_counted_by_key_and_path(self) -> None:
        upstream = await self.start()
        headers = {"Idempotency-Key": "a"}
        for _ in range(2):
            url = f"{upstream.url}/holds?size=5"
            await fetch(url, method="POST", body=b"x", headers=headers)
        response = json.loads((await fetch(f"{upstream.url}/holds?size=5")).body)
        self.assertEqual((response["path"], response["padding"]), ("/holds", "x" * 5))
        counters = json.loads((await fetch(f"{upstream.url}/control/counters")).body)
        self.assertEqual(counters["n_runs"], 3)
        self.assertEqual(counters["runs_by_key"], {"a": 2})
        self.assertEqual(counters["runs_by_path"], {"/holds": 3})

    async def test_slots_limit_running_requests_and_excess_is_refused(self) -> None:
        upstream = await self.start(n_slots=2, n_connections=4, delay_s=0.05)
        calls = [fetch(f"{upstream.url}/a") for _ in range(6)]
        codes = [response.code for response in await asyncio.gather(*calls)]
        self.assertEqual(sorted(codes), [200] * 4 + [503] * 2)
        self.assertEqual(upstream.counters.n_most_running, 2)
        self.assertEqual(upstream.counters.n_shed, 2)
        self.assertEqual(upstream.counters.n_runs, 4)

    async def test_abandoned_request_that_waits_does_not_run(self) -> None:
        upstream = await self.start(n_slots=1)
        self.assertEqual((await fetch(f"{upstream.url}/a")).code, 200)
        async with asyncio.timeout(LONG_TIMEOUT_S), upstream.slots:
            _, writer = await asyncio.open_connection("127.0.0.1", upstream.port)
            writer.write(b"GET /b HTTP/1.1\r\nHost: a.example\r\n\r\n")
            await wait_until(lambda: bool(upstream.n_accepted))
            writer.close()
            await wait_until(lambda: bool(upstream.counters.n_abandoned))
        self.assertEqual((await fetch(f"{upstream.url}/c")).code, 200)
        self.assertEqual(upstream.runs_by_path, {"/a": 1, "/c": 1})

    async def test_outgoing_calls_follow_the_listed_urls(self) -> None:
        upstreams = [await self.start(name=name) for name in "abc"]
        urls = " ".join(f"{upstream.url}/x" for upstream in upstreams[1:])
        headers = {"X-Call-Url": urls, "X-Trace": "1", "Idempotency-Key": "k"}
        response = json.loads((await fetch(upstreams[0].url, headers=headers)).body)
        second = json.loads(response["called"]["body"])
        third = json.loads(second["called"]["body"])
        self.assertEqual((second["name"], third["name"]), ("b", "c"))
        self.assertEqual(upstreams[2].runs_by_key, {})

    async def test_faults_are_set_over_http(self) -> None:
        upstream = await self.start()
        body = b'{"is_draining": true, "is_reported_healthy": true}'
        await fetch(f"{upstream.url}/control/faults", method="POST", body=body)
        self.assertEqual((await fetch(f"{upstream.url}/health")).code, 200)
        self.assertEqual((await fetch(f"{upstream.url}/a")).code, 503)
        self.assertEqual(upstream.counters.n_runs, 0)


class ProcessTest(unittest.TestCase):
    def start(self, module: str) -> tuple[subprocess.Popen, str]:
        process = subprocess.Popen(
            [sys.executable, "-m", module], stdout=subprocess.PIPE, text=True
        )
        self.addCleanup(process.stdout.close)
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        port = json.loads(process.stdout.readline())["port"]
        return process, f"http://127.0.0.1:{port}"

    def test_crash_request_kills_the_process(self) -> None:
        process, url = self.start("foxtailway.testing.upstream")
        with self.assertRaises(HTTPClientError):
            asyncio.run(fetch(f"{url}/holds/crash"))
        self.assertEqual(process.wait(timeout=10), CRASH_EXIT_CODE)

    def test_fake_servers_stop_on_sigterm(self) -> None:
        for module in ("foxtailway.testing.upstream", "foxtailway.testing.platform"):
            process, _ = self.start(module)
            process.terminate()
            self.assertEqual(process.wait(timeout=10), 0)
