"""Quarantine of requests that crash the upstreams that run them."""

from collections import OrderedDict

from foxtailway.common.clock import Clock
from foxtailway.routing.quarantine import CrashContainment, compute_fingerprint

__all__ = ["CrashGuard"]

# Number of upstreams crashed by a request after which it is refused. The rules of
# the platform allow three crashes and a few retries.
N_CRASHES_TO_QUARANTINE = 2
# Time for which the request is then refused.
QUARANTINE_S = 30.0
# Factor of that time for each further crash, so that a request that comes again for
# hours reaches few upstreams.
QUARANTINE_GROWTH = 8
# Upper bound of that time: one day.
MAX_QUARANTINE_S = 86_400.0
# Time after its last crash for which a request is remembered, longer than the longest
# quarantine.
SUSPECT_LIFETIME_S = 2 * MAX_QUARANTINE_S
# Requests tracked at once, which bounds the memory.
MAX_SUSPECTED_REQUESTS = 1_000
# Crashes remembered at once, one for each request that was lost in it.
MAX_KNOWN_CRASHES = 2_000
# Crashes of which a new peer is told.
MAX_RECENT_CRASHES = 64
# Size of a body in bytes up to which successes are recorded before any crash. Requests
# with larger bodies are rarely equal.
MAX_TRUSTED_BODY_SIZE = 65_536


class CrashGuard:
    """Detect requests that crashed several upstreams of the mesh.

    Parameters
    ----------
    host_id : str
        Identifier of the host of the sidecar.
    clock : Clock
        Source of time.

    Attributes
    ----------
    known_crashes : OrderedDict of tuple of str to None
        Pairs of the fingerprint of a request and the identifier of a crash.

    Notes
    -----
    A crash loses all requests in flight, so those beside the harmful one are suspects
    as well. When an upstream responds to a request, the sidecars that see the response
    no longer suspect it, and don't count its next crash.
    """

    def __init__(self, *, host_id: str, clock: Clock) -> None:
        self.clock = clock
        self.known_crashes: OrderedDict[tuple[str, str], None] = OrderedDict()
        self.containment = CrashContainment(
            host_id=host_id,
            max_entries=MAX_SUSPECTED_REQUESTS,
            suspect_s=SUSPECT_LIFETIME_S,
        )

    def is_quarantined(self, method: str, target: str, body: bytes) -> bool:
        """Return whether a request is quarantined."""
        if not self.containment.suspects:
            return False
        request_fingerprint = compute_fingerprint(method=method, path=target, body=body)
        return (
            self.containment.check_quarantine(request_fingerprint, self.clock.now())
            is not None
        )

    def is_known(self, request_fingerprint: str, crash_id: str) -> bool:
        """Return whether a crash has been recorded."""
        return (request_fingerprint, crash_id) in self.known_crashes

    def record_crash(self, request_fingerprint: str, crash_id: str) -> bool:
        """Record a crash; return whether the request is quarantined now."""
        self.known_crashes[(request_fingerprint, crash_id)] = None
        if len(self.known_crashes) > MAX_KNOWN_CRASHES:
            self.known_crashes.popitem(last=False)
        suspect = self.containment.suspects.get(request_fingerprint)
        crashed = set() if suspect is None else suspect.crashed_hosts | {crash_id}
        n_beyond = max(0, len(crashed) - N_CRASHES_TO_QUARANTINE)
        return self.containment.record_loss(
            request_fingerprint,
            crash_id,
            n_crash_hosts=N_CRASHES_TO_QUARANTINE,
            quarantine_s=min(
                MAX_QUARANTINE_S, QUARANTINE_S * QUARANTINE_GROWTH**n_beyond
            ),
            now=self.clock.now(),
        )

    def list_recent_crashes(self) -> list[tuple[str, str]]:
        """Return the last crashes of requests that are still suspected, oldest first.

        They are pairs of the fingerprint of a request and the identifier of a crash.
        """
        suspects = self.containment.suspects
        crashes = [item for item in self.known_crashes if item[0] in suspects]
        return crashes[-MAX_RECENT_CRASHES:]

    def record_success(self, method: str, target: str, body: bytes) -> None:
        """Record that an upstream responded to a request."""
        if not self.containment.suspects and len(body) > MAX_TRUSTED_BODY_SIZE:
            return
        self.containment.record_success(
            compute_fingerprint(method=method, path=target, body=body),
            self.clock.now(),
        )
