"""Quarantine of requests that crash the upstreams that run them."""

from foxtailway.common.clock import Clock
from foxtailway.routing.quarantine import CrashContainment, compute_fingerprint

__all__ = ["CrashGuard"]

# Crashed upstreams after which a request is refused. The rules of the platform
# allow three crashes and a few retries.
N_CRASHES_TO_QUARANTINE = 2
# Time for which the request is then refused.
QUARANTINE_S = 30.0
# Requests tracked at once, which bounds the memory.
MAX_SUSPECTED_REQUESTS = 1_000


class CrashGuard:
    """Detect requests that crashed several upstreams on any hosts.

    Parameters
    ----------
    host_id : str
        Identifier of the host of the sidecar.
    clock : Clock
        Source of time.

    Notes
    -----
    The sidecar beside a crashed upstream broadcasts to all connected sidecars
    the fingerprints of the requests that were running. When such a request
    succeeds later, the sidecar that received it from the client no longer
    suspects it.
    """

    def __init__(self, *, host_id: str, clock: Clock) -> None:
        self.clock = clock
        self.containment = CrashContainment(
            host_id=host_id, max_entries=MAX_SUSPECTED_REQUESTS
        )

    def is_quarantined(self, method: str, target: str, body: bytes) -> bool:
        """Return whether a request is refused at present."""
        if not self.containment.suspects:
            return False
        request_fingerprint = compute_fingerprint(method=method, path=target, body=body)
        return (
            self.containment.check_quarantine(request_fingerprint, self.clock.now())
            is not None
        )

    def record_crash(self, request_fingerprint: str, upstream_id: str) -> bool:
        """Record a crash; return whether the request is quarantined now."""
        return self.containment.record_loss(
            request_fingerprint,
            upstream_id,
            n_crash_hosts=N_CRASHES_TO_QUARANTINE,
            quarantine_s=QUARANTINE_S,
            now=self.clock.now(),
        )

    def record_success(self, method: str, target: str, body: bytes) -> None:
        """Record that an upstream responded to a request."""
        if self.containment.suspects:
            request_fingerprint = compute_fingerprint(
                method=method, path=target, body=body
            )
            if request_fingerprint in self.containment.suspects:
                self.containment.record_success(request_fingerprint, self.clock.now())
