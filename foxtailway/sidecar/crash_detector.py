"""Detection of crashes of the upstream on the same host."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from foxtailway.routing.quarantine import compute_fingerprint
from foxtailway.sidecar.call import UpstreamCall
from foxtailway.sidecar.http_connection import HttpConnection
from foxtailway.sidecar.http_exchange import ExchangeError
from foxtailway.sidecar.upstream_pool import UpstreamPool

__all__ = ["CrashDetector", "CrashLoad", "UpstreamCrash"]

# Time after the first loss in a crash in which further losses are collected. All
# connections of a process end at once, but their ends are read one after another.
COLLECT_S = 0.05
# Reports of one crash. Requests that are lost after the last one are not reported.
MAX_REPORTS_PER_CRASH = 3
# Requests in flight up to which a crash is the fault of one of them rather than of the
# load. It is below the number of slots of most upstreams.
MAX_FEW_IN_FLIGHT = 4


@dataclass(frozen=True, slots=True, kw_only=True)
class CrashLoad:
    """Load of an upstream when it crashed.

    Parameters
    ----------
    n_in_flight : int
        Requests that the upstream ran.
    is_cold : bool
        Whether it was cold.
    is_overloaded : bool
        Whether requests waited for its slots.
    """

    n_in_flight: int
    is_cold: bool
    is_overloaded: bool

    @property
    def may_explain_crash(self) -> bool:
        """Whether the load may have caused the crash, rather than one request."""
        return (
            self.is_cold or self.is_overloaded or self.n_in_flight > MAX_FEW_IN_FLIGHT
        )


@dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamCrash:
    """Crash of the upstream on this host.

    Parameters
    ----------
    upstream_id : str
        Identifier of the upstream.
    crash_id : str
        Identifier of the crash.
    fingerprints : tuple of str
        Fingerprints of the requests that were lost.
    load : CrashLoad
        Load of the upstream when the first of them was lost.
    """

    upstream_id: str
    crash_id: str
    fingerprints: tuple[str, ...]
    load: CrashLoad


class CrashDetector:
    """Tell a crash of the upstream from a lost connection.

    Parameters
    ----------
    pool : UpstreamPool
        Connections to the upstream.
    on_crash : callable
        Called with each crash. It is called again for requests that are lost later
        than `COLLECT_S` after the first.

    Attributes
    ----------
    lost : list of UpstreamCall
        Calls that were lost and have not been reported.
    load : CrashLoad or None
        Load when the first of them was lost.
    n_crashes : int
        Crashes of the upstream.
    is_crashed : bool
        Whether the upstream has not accepted a connection since its last crash.
    crashed_at : float
        Monotonic time at which that crash was noticed, in seconds.
    """

    def __init__(
        self, *, pool: UpstreamPool, on_crash: Callable[[UpstreamCrash], None]
    ) -> None:
        self.pool = pool
        self.on_crash = on_crash
        self.loop = asyncio.get_running_loop()
        self.started_at = self.loop.time()
        self.checks: set[asyncio.Task] = set()
        self.lost: list[UpstreamCall] = []
        self.load: CrashLoad | None = None
        self.n_crashes = 0
        self.n_reports = 0
        self.is_crashed = False
        self.crashed_at = 0.0
        self.is_checking = False

    def record_connected(self, connection: HttpConnection) -> None:
        """Record a usable connection, which ends a crash if it was opened after it.

        The end of an older one may not have been read yet. The next loss would then
        count as another crash.
        """
        if self.pool.opened_at.get(connection, 0.0) >= self.crashed_at:
            self.is_crashed = False

    def start_check(self, call: UpstreamCall, load: CrashLoad) -> None:
        """Check whether the upstream crashed or only lost the connection of a call.

        One check covers all calls that are lost while it runs.

        Parameters
        ----------
        call : UpstreamCall
            Call that was lost.
        load : CrashLoad
            Load of the upstream with this call.
        """
        self.lost.append(call)
        if not self.is_checking:
            self.is_checking = True
            self.load = load
            task = self.loop.create_task(self.check())
            self.checks.add(task)
            task.add_done_callback(self.checks.discard)

    async def check(self) -> None:
        """Report a crash if the upstream accepts no connection any more."""
        try:
            while self.lost:
                n_before = len(self.lost)
                try:
                    connection = await self.pool.connect()
                except ExchangeError:
                    crash_id = self.identify_crash(self.lost[0].upstream_id)
                    await asyncio.sleep(COLLECT_S)
                    self.report(crash_id)
                else:
                    self.pool.release(connection)
                    # Calls that were lost meanwhile may belong to a crash after it.
                    del self.lost[:n_before]
        finally:
            self.is_checking = False

    def report(self, crash_id: str) -> None:
        """Report the calls that were lost in a crash."""
        lost, self.lost = self.lost, []
        self.n_reports += 1
        if self.n_reports > MAX_REPORTS_PER_CRASH:
            return
        self.on_crash(
            UpstreamCrash(
                upstream_id=lost[0].upstream_id,
                crash_id=crash_id,
                fingerprints=tuple(
                    compute_fingerprint(
                        method=call.method, path=call.target, body=call.body
                    )
                    for call in lost
                ),
                load=self.load,
            )
        )

    def identify_crash(self, upstream_id: str) -> str:
        """Return the identifier of the current crash of an upstream.

        An upstream may start again under its identifier and crash once more. All
        requests that are lost before it accepts a connection again belong to one crash.
        """
        if not self.is_crashed:
            self.is_crashed = True
            self.crashed_at = self.loop.time()
            self.n_crashes += 1
            self.n_reports = 0
        return f"{upstream_id}/{self.started_at:.3f}/{self.n_crashes}"

    def close(self) -> None:
        """Cancel the checks in progress."""
        for task in self.checks:
            task.cancel()
