"""Run a deployment, edit its configuration and print the measurements."""

import asyncio
import json
import sys
import tempfile
import time
from argparse import ArgumentParser
from contextlib import AsyncExitStack
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

from tornado.httpclient import HTTPRequest

from examples.demo.deployments import DemoSpec, find_spec
from foxtailway.testing.deployment import LINK_NAIVE_PORT
from foxtailway.testing.fleet import Fleet, rank_version
from foxtailway.testing.traffic import Traffic

# Time between the starts of two client calls.
CALL_INTERVAL_S = 0.02
# Time with client calls only, before the edits and after them.
SETTLE_S = 2.0
# Time after an invalid edit before the audit trails are read.
BAD_EDIT_WAIT_S = 4.0
# Number of valid edits before the invalid one.
N_EDITS = 3


@dataclass(frozen=True, slots=True, kw_only=True)
class DemoReport:
    """Measurements of the demonstration.

    Parameters
    ----------
    convergence_s : float
        Longest time from the acceptance of an edit until all nodes applied it, in
        seconds.
    link_bytes : int
        Bytes of configuration traffic billed on the link during the edits.
    link_bytes_naive : int
        Bytes billed for proxies of the remote region that poll the platform.
    calls, calls_failed : int
        Calls made by clients, and calls that ended with another status than 200.
    versions_reverted : int
        Number of times that a node applied a version that is not newer than the
        versions applied before it.
    bad_versions_applied : int
        Number of nodes that applied the invalid version.
    """

    convergence_s: float
    link_bytes: int
    link_bytes_naive: int
    calls: int
    calls_failed: int
    versions_reverted: int
    bad_versions_applied: int


class Demo:
    """Demonstration of one deployment.

    Parameters
    ----------
    spec : DemoSpec
        Deployment, client calls and edits.
    fleet : Fleet
        Processes of the deployment.
    """

    def __init__(self, *, spec: DemoSpec, fleet: Fleet) -> None:
        self.spec = spec
        self.fleet = fleet
        self.started_at = time.monotonic()

    def print_progress(self, text: str) -> None:
        """Print a line with the time since the start."""
        elapsed_s = time.monotonic() - self.started_at
        print(f"[{elapsed_s:5.1f} s] {text}", flush=True)

    async def start(self) -> None:
        """Start all processes and wait until the nodes are ready."""
        deployment = self.spec.deployment
        self.print_progress(f"starting the platform and the link of {deployment.mesh}")
        self.fleet.start_platform()
        await self.fleet.wait_platform()
        await self.publish_files()
        n_hosts = len(deployment.hosts)
        self.print_progress(f"starting {n_hosts} upstreams and {n_hosts} nodes")
        self.fleet.start_hosts()
        await self.fleet.wait_ready()
        self.start_naive_pollers()
        self.print_progress("all nodes are ready")

    async def publish_files(self) -> None:
        """Publish secrets, overlays, host lists and the base file."""
        base = self.spec.read_base()
        for line in base.decode().splitlines():
            key, _, value = line.partition("=")
            if key.strip() == "secret":
                name = value.strip()
                await self.fleet.publish(f"secret/{name}", f"demo-{name}".encode())
        zones = dict.fromkeys(host.zone for host in self.spec.deployment.hosts)
        for zone in zones:
            await self.fleet.publish(f"overlay/{zone}", self.spec.read_overlay(zone))
        await self.fleet.publish_hosts()
        await self.fleet.publish("base", base)

    def start_naive_pollers(self) -> None:
        """Start one naive poller for each host of the remote region."""
        deployment = self.spec.deployment
        n_remote = sum(
            host.region != deployment.store_region for host in deployment.hosts
        )
        url = f"http://{deployment.platform_address}:{LINK_NAIVE_PORT}"
        self.fleet.processes.start(
            "naive",
            "foxtailway.testing.naive_poller",
            ["--url", url, "--n-pollers", str(n_remote)],
        )

    def make_traffic(self) -> Traffic:
        """Return a generator of client calls through every node."""
        calls = [
            HTTPRequest(
                host.client_url + request.path,
                method=request.method,
                body=b"{}" if request.method == "POST" else None,
                request_timeout=10.0,
            )
            for host in self.spec.deployment.hosts
            for request in self.spec.requests
        ]
        return Traffic(calls=calls, interval_s=CALL_INTERVAL_S)

    async def publish_overlay(self, overlay: str) -> float:
        """Publish a valid overlay and return the time to convergence, in seconds."""
        site = self.spec.edited_site
        accepted_at = time.time()
        revision = await self.fleet.publish(f"overlay/{site}", overlay.encode())
        await self.fleet.wait_revision(revision)
        applied_at = 0.0
        for host in self.spec.deployment.hosts:
            for entry in await self.fleet.read_audit(host):
                if is_revision_entry(entry, revision) and entry["action"] == "applied":
                    applied_at = max(applied_at, entry["time_s"])
        convergence_s = applied_at - accepted_at
        self.print_progress(
            f"revision {revision} in force everywhere after {convergence_s:.3f} s"
        )
        return convergence_s

    async def publish_invalid_overlay(self) -> int:
        """Publish an invalid overlay and return the number of nodes that applied it."""
        site = self.spec.edited_site
        content = self.spec.bad_overlay.encode()
        revision = await self.fleet.publish(f"overlay/{site}", content)
        await asyncio.sleep(BAD_EDIT_WAIT_S)
        n_applied = 0
        reasons = set()
        for host in self.spec.deployment.hosts:
            for entry in await self.fleet.read_audit(host):
                if not is_revision_entry(entry, revision):
                    continue
                n_applied += entry["action"] == "applied"
                reasons.add(entry["reason"])
        self.print_progress(
            f"invalid revision {revision}: applied by {n_applied} nodes"
        )
        for reason in sorted(reasons):
            self.print_progress(f"  {reason}")
        return n_applied

    async def count_reverted(self) -> int:
        """Return how often a node applied a version that is not newer."""
        n_reverted = 0
        for host in self.spec.deployment.hosts:
            newest: dict[str, tuple[int, int]] = {}
            for entry in await self.fleet.read_audit(host):
                if entry["action"] != "applied":
                    continue
                rank = rank_version(entry["version"])
                n_reverted += rank <= newest.get(entry["kind"], (0, 0))
                newest[entry["kind"]] = rank
        return n_reverted

    async def run(self) -> DemoReport:
        """Run the demonstration and return its report."""
        await self.start()
        traffic = self.make_traffic()
        traffic_task = asyncio.ensure_future(traffic.run())
        await asyncio.sleep(SETTLE_S)
        before = await self.fleet.read_link_counters()
        self.print_progress(
            f"{traffic.counts.n_calls} calls so far; editing an overlay"
        )
        convergence_s = 0.0
        for index in range(N_EDITS):
            overlay = self.spec.good_overlay.replace("3s", f"{3 + index}s")
            convergence_s = max(convergence_s, await self.publish_overlay(overlay))
        self.print_progress("publishing an invalid overlay")
        n_bad_versions = await self.publish_invalid_overlay()
        self.print_progress("publishing a valid overlay again")
        convergence_s = max(
            convergence_s, await self.publish_overlay(self.spec.good_overlay)
        )
        await asyncio.sleep(SETTLE_S)
        after = await self.fleet.read_link_counters()
        await traffic.stop()
        await traffic_task
        if traffic.counts.first_failure:
            self.print_progress(f"first failed call: {traffic.counts.first_failure}")
        return DemoReport(
            convergence_s=round(convergence_s, 3),
            link_bytes=sum(after[key] - before[key] for key in ("control", "platform")),
            link_bytes_naive=after["naive"] - before["naive"],
            calls=traffic.counts.n_calls,
            calls_failed=traffic.counts.n_failed,
            versions_reverted=await self.count_reverted(),
            bad_versions_applied=n_bad_versions,
        )


def is_revision_entry(entry: dict[str, Any], revision: int) -> bool:
    """Return whether an audit entry belongs to a revision of the configuration."""
    if entry["kind"] != "config" or not entry["version"]:
        return False
    return rank_version(entry["version"])[1] == revision


async def run(name: str) -> DemoReport:
    """Run the demonstration of a deployment; print node logs if it fails."""
    spec = find_spec(name)
    async with AsyncExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        fleet = Fleet(deployment=spec.deployment, folder=Path(folder))
        stack.callback(fleet.close)
        demo = Demo(spec=spec, fleet=fleet)
        try:
            return await demo.run()
        except (TimeoutError, RuntimeError) as error:
            demo.print_progress(f"failed: {error}")
            for host in spec.deployment.hosts[:2]:
                print(fleet.processes.read_log(f"node-{host.host_id}")[-2000:])
            raise


def main() -> int:
    """Run the demonstration and print its report as the last line.

    Returns
    -------
    int
        Exit code; 1 if a call failed, or a version was reverted or wrongly applied.
    """
    parser = ArgumentParser(description="Demonstration on loopback addresses.")
    parser.add_argument(
        "--deployment", choices=("pondside", "kaevukaitse"), default="pondside"
    )
    arguments = parser.parse_args()
    report = asyncio.run(run(arguments.deployment))
    print(json.dumps(asdict(report)))
    is_success = not (
        report.calls_failed or report.versions_reverted or report.bad_versions_applied
    )
    return 0 if is_success else 1


if __name__ == "__main__":
    sys.exit(main())
