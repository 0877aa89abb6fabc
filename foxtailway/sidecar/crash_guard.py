"""Requests that crash the upstreams that run them."""

from foxtailway.common.clock import Clock
from foxtailway.routing.quarantine import CrashContainment, compute_fingerprint

__all__ = ["CrashGuard"]

# Upstreams that a request may crash before it is refused; the platform's rules
# allow three and a few retries.
N_CRASHES_TO_QUARANTINE = 2
QUARANTINE_S = 30.0
MAX_SUSPECTED_REQUESTS = 1_000


class CrashGuard:
    """Refuse requests that crashed several upstreams, wherever they ran.

    Parameters
    ----------
    host_id : str
        Host of the sidecar.
    clock : Clock
        Source of time.

    Notes
    -----
    The sidecar beside a crashed upstream tells all connected sidecars which
    requests it ran. One that succeeds anywhere afterwards is no suspect for
    the sidecar through which it entered.
    """

    def __init__(self, *, host_id: str, clock: Clock) -> None:
        self.clock = clock
        self.containment = CrashContainment(
            host_id=host_id, max_entries=MAX_SUSPECTED_REQUESTS
        )

    def is_quarantined(self, method: str, target: str, body: bytes) -> bool:
        """Whether a request is refused."""
        if not self.containment.suspects:
            return False
        request_fingerprint = compute_fingerprint(method=method, path=target, body=body)
        return (
            self.containment.check_quarantine(request_fingerprint, self.clock.now())
            is not None
        )

    def record_crash(self, request_fingerprint: str, upstream_id: str) -> bool:
        """Learn that an upstream crashed; return whether the request is refused."""
        return self.containment.record_loss(
            request_fingerprint,
            upstream_id,
            n_crash_hosts=N_CRASHES_TO_QUARANTINE,
            quarantine_s=QUARANTINE_S,
            now=self.clock.now(),
        )

    def record_success(self, method: str, target: str, body: bytes) -> None:
        """Learn that an upstream answered a request."""
        if self.containment.suspects:
            request_fingerprint = compute_fingerprint(
                method=method, path=target, body=body
            )
            if request_fingerprint in self.containment.suspects:
                self.containment.record_success(request_fingerprint, self.clock.now())
