"""Limit of the requests that an upstream gets while it is cold."""

from collections import deque
from math import floor, inf

from foxtailway.traffic.configuration import ServiceSettings
from foxtailway.traffic.membership import Upstream

__all__ = ["ColdStartLimiter"]

# Length of the sliding window in which requests are counted, in seconds. The bound
# holds for any second as the upstream sees it. Its process may read a request late, so
# that requests that were sent over more than a second arrive within one.
WINDOW_S = 1.1
# Share of the bound that is used. The rest covers requests that are sent before and
# read after a pause of the upstream longer than the margin of the window.
LIMIT_SHARE = 0.9
# Ratio of the requests sent in the long run to the rate that a cold upstream sustains.
# The bound alone would allow more than twice that rate all the time, at which cold
# upstreams crash.
SUSTAINED_RATIO = 1.0
# Time added to a remaining cold time that the upstream states, for the difference of
# two clocks over the time of a cold start.
CLOCK_MARGIN_S = 0.05
# Registry entries whose start times are remembered.
MAX_KNOWN_ENTRIES = 8


class ColdStartLimiter:
    """Decide how many requests one upstream may get while it is cold.

    Parameters
    ----------
    now : float
        Start of the process, as monotonic time in seconds.
    overage, slack : float
        A cold upstream may get its sustained rate times `overage` plus `slack`
        requests in a second. With the defaults, there is no limit until the service
        of the upstream is configured.

    Attributes
    ----------
    service : ServiceSettings or None
        Configured cold rate and time of the service; None until they are known.
    limit : int
        Requests that a cold upstream gets in `WINDOW_S` at most.
    sent_at : deque of float
        Monotonic times at which requests were sent in the last `WINDOW_S`.
    blocked_until : float
        Monotonic time until which a cold upstream gets no request, since it may have
        got as many as allowed from a predecessor of this process or without a limit.
    n_reserved : int
        Requests that have been admitted and not been sent yet.
    is_reachable : bool
        Whether the upstream accepted the last connection.
    started_by : float
        Monotonic time before which the upstream has started if that start has not been
        confirmed by the upstream; minus infinity for none.
    warm_at : float
        Monotonic time until which the upstream itself said that it is cold.
    needs_check : bool
        Whether a start was seen of which the upstream has not been asked yet.

    Notes
    -----
    The upstream counts as cold from any evidence of a start until its cold time is
    over, or until its health check says otherwise. A registry entry is older than the
    evidence may be, so that it only lengthens that time. The argument `now` of the
    methods is the monotonic time in seconds.
    """

    def __init__(self, *, now: float, overage: float = 1.0, slack: float = 0.0) -> None:
        self.service: ServiceSettings | None = None
        self.n_reserved = 0
        self.is_reachable = False
        self.started_by = now
        self.warm_at = -inf
        self.needs_check = True
        self.known_entries: dict[str, tuple[int, int]] = {}
        self.sent_at: deque[float] = deque()
        self.tokens = 0.0
        self.tokens_at = now
        # What a predecessor of this process sent is not known.
        self.blocked_until = now + WINDOW_S
        self.apply_bounds(overage=overage, slack=slack)

    def apply_bounds(self, *, overage: float, slack: float) -> None:
        """Apply the bounds of the settings."""
        self.overage = overage
        self.slack = slack
        self.update_limit()

    def apply_service(self, service: ServiceSettings, now: float) -> None:
        """Apply the configured properties of the service of the upstream."""
        was_active = self.is_active
        self.service = service
        self.update_limit()
        if service.cold_start_s:
            latest_warm_at = now + service.cold_start_s + CLOCK_MARGIN_S
            self.warm_at = min(self.warm_at, latest_warm_at)
        if self.is_active and not was_active:
            # Requests have not been counted without a limit.
            self.blocked_until = now + WINDOW_S

    def update_limit(self) -> None:
        """Compute the limit and the refill of permits from bounds and service.

        Before the rate is known, the limit is the part of the bound that holds for any
        rate. Without stated bounds, there is no limit then.
        """
        rate_per_s = 0.0 if self.service is None else self.service.cold_rate_per_s
        self.is_active = rate_per_s > 0 or (
            self.service is None and (self.overage > 1.0 or self.slack > 0.0)
        )
        bound = rate_per_s * self.overage + self.slack
        self.limit = min(floor(bound), max(1, floor(bound * LIMIT_SHARE)))
        max_rate_per_s = self.limit / WINDOW_S
        self.refill_per_s = max_rate_per_s
        if rate_per_s:
            self.refill_per_s = min(max_rate_per_s, rate_per_s * SUSTAINED_RATIO)
        self.max_tokens = max(1.0, self.limit - self.refill_per_s * WINDOW_S)

    @property
    def cold_start_s(self) -> float:
        """Configured time for which an upstream is cold after its start, in seconds."""
        return 0.0 if self.service is None else self.service.cold_start_s

    @property
    def warm_by(self) -> float:
        """Monotonic time from which the upstream counts as warm, if it is reachable."""
        return max(self.warm_at, self.started_by + self.cold_start_s)

    def is_cold(self, now: float) -> bool:
        """Return whether the limit is in force."""
        return self.is_starting(now) or (self.is_active and not self.is_reachable)

    def is_starting(self, now: float) -> bool:
        """Return whether the limit is in force because of a start.

        The result does not depend on whether the upstream accepts connections.
        """
        return self.is_active and (self.service is None or now < self.warm_by)

    def get_warm_in(self, now: float) -> float:
        """Return the time until the upstream is warm in seconds, 0 for a warm one.

        It is an estimate if the upstream or its configuration is not reachable.
        """
        if not self.is_cold(now):
            return 0.0
        if not self.is_reachable or self.service is None:
            return max(self.cold_start_s, self.warm_at - now, WINDOW_S)
        return self.warm_by - now

    def record_start(self, started_by: float) -> None:
        """Record evidence that the upstream started before a time."""
        self.started_by = max(self.started_by, started_by)
        self.needs_check = True

    def record_unreachable(self) -> None:
        """Record that the upstream accepts no connection."""
        self.is_reachable = False

    def record_connected(self, now: float) -> bool:
        """Record an accepted connection; return whether it shows a start."""
        if self.is_reachable:
            return False
        self.is_reachable = True
        self.record_start(now)
        return True

    def record_entry(self, upstream: Upstream, now: float) -> bool:
        """Record a registry entry at the address; return whether it shows a start."""
        known = self.known_entries.get(upstream.upstream_id)
        order = (upstream.start_time_ms, upstream.sequence)
        # Without a start time, a smaller sequence may be that of a new process.
        if order == known or (known is not None and known[0] and order < known):
            return False
        is_first = not self.known_entries
        self.known_entries.pop(upstream.upstream_id, None)
        self.known_entries[upstream.upstream_id] = order
        if len(self.known_entries) > MAX_KNOWN_ENTRIES:
            del self.known_entries[next(iter(self.known_entries))]
        is_start = not is_first and (known is None or known[0] != order[0])
        if upstream.warm_up_s > 0:
            self.extend(upstream.warm_up_s, now)
        elif is_start:
            self.record_start(now)
        return is_start

    def extend(self, remaining_s: float, now: float) -> None:
        """Record for how long the upstream is cold according to itself."""
        if self.cold_start_s:
            remaining_s = min(remaining_s, self.cold_start_s)
        self.warm_at = max(self.warm_at, now + remaining_s + CLOCK_MARGIN_S)

    def record_health(self, remaining_s: float, asked_at: float, now: float) -> bool:
        """Record for how long the upstream is cold according to its health check.

        A response is ignored if the upstream may have started since the request.

        Returns
        -------
        bool
            Whether the response counts.
        """
        if not self.is_reachable or self.started_by > asked_at:
            return False
        self.started_by = -inf
        self.warm_at = -inf
        if remaining_s > 0:
            self.extend(remaining_s, now)
        return True

    def take_check(self, now: float) -> bool:
        """Return whether the upstream has to be asked; the next call returns False."""
        if not self.needs_check or self.service is None or not self.is_cold(now):
            return False
        self.needs_check = False
        return True

    def refresh(self, now: float) -> None:
        """Forget requests outside of the window and refill the permits."""
        sent_at = self.sent_at
        while sent_at and sent_at[0] <= now - WINDOW_S:
            sent_at.popleft()
        refill = (now - self.tokens_at) * self.refill_per_s
        self.tokens = min(self.max_tokens, self.tokens + refill)
        self.tokens_at = now

    def count_permits(self, now: float) -> int:
        """Return the requests that a cold upstream may get at once."""
        if now < self.blocked_until:
            return 0
        self.refresh(now)
        n_permits = min(floor(self.tokens), self.limit - len(self.sent_at))
        return max(0, n_permits - self.n_reserved)

    def find_delay(self, n_ahead: int, now: float) -> float:
        """Return the time until a request may be sent, in seconds.

        Parameters
        ----------
        n_ahead : int
            Waiting requests that are sent before it.
        now : float
            Monotonic time in seconds.
        """
        if not self.is_cold(now):
            return 0.0
        if self.limit <= 0:
            # A request has to try a connection, which alone shows that the upstream is
            # back; `can_send` refuses it then.
            delay_s = inf if self.is_reachable else 0.0
        else:
            self.refresh(now)
            n_needed = n_ahead + 1 + self.n_reserved
            delay_s = max(
                0.0,
                self.blocked_until - now,
                (n_needed - self.tokens) / self.refill_per_s,
                self.find_window_delay(n_needed, now),
            )
        if self.is_reachable and self.service is not None:
            delay_s = min(delay_s, self.warm_by - now)
        return delay_s

    def find_window_delay(self, n_needed: int, now: float) -> float:
        """Return the time until the window has room for more requests, in seconds."""
        n_sent = len(self.sent_at)
        n_excess = n_sent + n_needed - self.limit
        if n_excess <= 0:
            return 0.0
        if n_excess <= n_sent:
            return self.sent_at[n_excess - 1] + WINDOW_S - now
        return WINDOW_S + (n_excess - n_sent) / self.refill_per_s

    def reserve(self) -> None:
        """Count a request that has been admitted."""
        self.n_reserved += 1

    def cancel_reservation(self) -> None:
        """Record that an admitted request is not sent."""
        self.n_reserved -= 1

    def can_send(self, now: float) -> bool:
        """Return whether an admitted request may still be sent.

        It may have been admitted before a start of the upstream was seen.
        """
        if not self.is_cold(now):
            return True
        self.refresh(now)
        return now >= self.blocked_until and len(self.sent_at) < self.limit

    def record_sent(self, now: float) -> None:
        """Record that an admitted request is sent."""
        self.n_reserved -= 1
        if self.is_active:
            self.refresh(now)
            self.sent_at.append(now)
            self.tokens = max(0.0, self.tokens - 1.0)

    def record_misdirected(self, sent_at: float) -> None:
        """Take back a request that the upstream refused as meant for another one."""
        if sent_at in self.sent_at:
            self.sent_at.remove(sent_at)
            self.tokens = min(self.max_tokens, self.tokens + 1.0)
