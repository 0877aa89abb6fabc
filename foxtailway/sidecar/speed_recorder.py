"""Measurement of the speed of the upstream on the same host."""

import asyncio
from collections.abc import Callable

from foxtailway.sidecar.log import EventLog
from foxtailway.traffic.upstream_speed import UpstreamSpeed

__all__ = ["SpeedRecorder"]

# Status of an upstream whose deadline has passed; not a failure of its own.
STATUS_GATEWAY_TIMEOUT = 504


class SpeedRecorder:
    """Record the runs of the local upstream and log when its state changes.

    Parameters
    ----------
    find_mean_run_time : callable
        Returns the mean run time of a kind of request at an upstream of ratio 1, in
        seconds, or None if it is unknown.
    log : EventLog
        Event log.
    """

    def __init__(
        self, *, find_mean_run_time: Callable[[str], float | None], log: EventLog
    ) -> None:
        self.speed = UpstreamSpeed(find_mean_run_time=find_mean_run_time)
        self.log = log
        self.loop = asyncio.get_running_loop()

    def limit_slots(self, n_registered: int) -> int:
        """Return the number of slots to use, given that of the registry entry."""
        n_before = self.speed.n_slots
        n_slots = self.speed.limit_slots(n_registered, self.loop.time())
        if n_slots != n_before and n_before:
            self.log.write("slots_changed", n_slots=n_slots, n_registered=n_registered)
        return n_slots

    def record(
        self,
        kind: str,
        status: int,
        run_time_s: float,
        *,
        n_running: int,
        is_cold: bool,
    ) -> None:
        """Record the response to a request.

        Parameters
        ----------
        kind : str
            Route of the request.
        status : int
            Status of the response.
        run_time_s : float
            Time from sending the request to the response, in seconds.
        n_running : int
            Requests that ran when it was sent, with itself.
        is_cold : bool
            Whether the upstream has just started.
        """
        speed = self.speed
        was_slow, was_failing = speed.is_slow, speed.failure_ratio > 0.0
        is_failed = status >= 500 and status != STATUS_GATEWAY_TIMEOUT
        speed.record_result(is_failed=is_failed)
        if not is_failed:
            now = self.loop.time()
            speed.record_run(
                kind, run_time_s, n_running=n_running, now=now, is_cold=is_cold
            )
        is_failing = speed.failure_ratio > 0.0
        if (speed.is_slow, is_failing) == (was_slow, was_failing):
            return
        values = {
            "slowdown": round(speed.slowdown, 2),
            "failure_ratio": round(speed.failure_ratio, 3),
            "speed_ratio": round(speed.speed_ratio, 2),
        }
        if speed.is_slow or is_failing:
            self.log.write("upstream_degraded", **values)
        else:
            self.log.write("upstream_recovered", **values)
