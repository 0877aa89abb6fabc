"""Times without access to the registry, after which entries may be missing."""

__all__ = ["DEFAULT_HEARTBEAT_S", "RegistryAccess"]

# Interval at which upstreams renew their registry entries, unless configured.
DEFAULT_HEARTBEAT_S = 1.5
# Heartbeats without a renewal after which the registry removes an entry.
N_EXPIRY_HEARTBEATS = 3.0
# Longest time between two renewals, in heartbeats; the interval is approximate.
MAX_RENEWAL_HEARTBEATS = 1.25
# Time after the end of an outage within which an upstream renews its entry.
REGISTRATION_TIME_S = 2.0
# Difference between the ends of an outage in two reports of it, in seconds, since
# messages are delayed.
REPORT_TOLERANCE_S = 0.5


class RegistryAccess:
    """Decides whether entries may be missing because the registry failed.

    An upstream whose entry is removed has left, or could not renew the entry. The
    second takes an outage in which several renewals failed. A call that fails, or one
    broken connection, is no evidence of such an outage: it is known only that nobody
    reached the registry between two successful calls.

    Parameters
    ----------
    heartbeat_s : float, default=DEFAULT_HEARTBEAT_S
        Interval at which upstreams renew their entries, in seconds.

    Attributes
    ----------
    lost_at : float
        Monotonic time at which the last outage began, in seconds.
    regained_at : float
        Monotonic time at which it ended, in seconds.
    last_success_at : float
        Monotonic time of the last successful call of this node, in seconds; its start
        before the first.
    restored_at : float
        Monotonic time at which this node learned that the registry was restored from
        an older copy, in seconds; entries may be missing from it.
    reported_at : float
        Monotonic time at which the last outage that other nodes have reported ended, in
        seconds; without those in which a third node read the registry.
    unseen_until : float
        Monotonic time at which the last time ended in which this node heard of nobody
        who read the registry, in seconds.
    is_continuous : bool
        Whether this node has read the registry without interruption since then.
    has_failed : bool
        Whether a call of this node failed since the registry was last known to work.
    """

    def __init__(self, *, heartbeat_s: float = DEFAULT_HEARTBEAT_S) -> None:
        self.heartbeat_s = heartbeat_s
        self.lost_at = float("-inf")
        self.regained_at = float("-inf")
        self.last_success_at = float("-inf")
        self.restored_at = float("-inf")
        self.reported_at = float("-inf")
        self.unseen_until = float("-inf")
        self.is_continuous = False
        self.has_failed = False

    @property
    def min_expiry_s(self) -> float:
        """Shortest time from the start of an outage to the first expiry, in seconds."""
        return (N_EXPIRY_HEARTBEATS - MAX_RENEWAL_HEARTBEATS) * self.heartbeat_s

    @property
    def min_outage_s(self) -> float:
        """Length from which an outage can make entries expire, in seconds."""
        return max(0.0, self.min_expiry_s - REGISTRATION_TIME_S)

    def record_following(self) -> None:
        """Record that this node follows another one in place of reading itself."""
        self.is_continuous = False

    def record_failure(self) -> None:
        """Record that a call failed."""
        self.is_continuous = False
        self.has_failed = True

    def record_restore(self, now: float) -> None:
        """Record that the registry was restored from an older copy."""
        self.restored_at = now

    def record_success(self, confirmed_at: float, now: float) -> None:
        """Record a successful call, and the gap before it if there is one.

        Parameters
        ----------
        confirmed_at : float
            Monotonic time at which another node last confirmed that it read the
            registry, in seconds.
        now : float
            Monotonic time in seconds.
        """
        if not self.is_continuous:
            self.end_gap(max(self.last_success_at, confirmed_at), now)
        self.is_continuous = True
        self.last_success_at = now

    def record_confirmation(self, previous_at: float, confirmed_at: float) -> None:
        """Record that another node read the registry, and the gap before it.

        Parameters
        ----------
        previous_at, confirmed_at : float
            Monotonic times of the last confirmation and of this one, in seconds.
        """
        if not self.is_continuous and confirmed_at > previous_at:
            self.end_gap(max(self.last_success_at, previous_at), confirmed_at)

    def end_gap(self, started_at: float, ended_at: float) -> None:
        """Record a gap if a call failed in it.

        Without a failed call, nodes only took over from one another. A node calls the
        registry itself long before an entry can expire.
        """
        if self.has_failed:
            self.record_gap(started_at, ended_at)
        self.has_failed = False

    def record_gap(self, started_at: float, ended_at: float) -> None:
        """Record that the registry was not read successfully for a time.

        Parameters
        ----------
        started_at, ended_at : float
            Monotonic times of the successful calls before and after, in seconds.
        """
        if ended_at - started_at <= self.min_outage_s:
            return
        if started_at - self.regained_at < MAX_RENEWAL_HEARTBEATS * self.heartbeat_s:
            # Some upstreams have had no chance to renew their entries in between.
            started_at = min(started_at, self.lost_at)
        self.lost_at = started_at
        self.regained_at = ended_at

    def find_ongoing(self, confirmed_at: float, now: float) -> float:
        """Return `find_recovery` for a node that does not reach the registry.

        The end of an outage is then `now`, once entries may have expired in it.
        """
        lost_at = max(self.last_success_at, confirmed_at)
        if not self.is_continuous and now - lost_at >= self.min_expiry_s:
            return now
        return self.find_recovery(now)

    def find_recovery(self, now: float) -> float:
        """Return the end of the outage in which an entry that is missing may be lost.

        A restore of the registry counts as the end of an outage.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.

        Returns
        -------
        float
            Monotonic time in seconds; minus infinity if no entry can have expired yet.
        """
        if now - self.lost_at < self.min_expiry_s:
            return self.restored_at
        return max(self.restored_at, self.regained_at)

    def judge_report(
        self,
        regained_at: float,
        previous_at: float,
        confirmed_at: float,
        interval_s: float,
    ) -> float:
        """Return the end of the outage to go by when another node reports one.

        A node that was cut off alone takes the gap for an outage of the registry. The
        report does not count if a third node read the registry in that time. It may
        follow the outage by seconds, when the first entries can have expired.

        Parameters
        ----------
        regained_at : float
            End of the reported outage as monotonic time in seconds; minus infinity for
            none.
        previous_at, confirmed_at : float
            Monotonic times at which this node last knew that somebody had read the
            registry, before the report and with it, in seconds.
        interval_s : float
            Longest time between two confirmations while the registry works, in seconds.

        Returns
        -------
        float
            Monotonic time in seconds; minus infinity for no outage.
        """
        limit_s = max(self.min_outage_s, interval_s)
        if confirmed_at - previous_at > limit_s:
            self.unseen_until = confirmed_at
        is_known = regained_at <= self.reported_at + REPORT_TOLERANCE_S
        was_unseen = regained_at <= self.unseen_until + REPORT_TOLERANCE_S
        is_unseen = regained_at - max(previous_at, confirmed_at) > limit_s
        if is_known or was_unseen or is_unseen:
            self.reported_at = regained_at
        return max(self.restored_at, self.reported_at)
