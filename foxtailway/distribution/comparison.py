"""When a node with a stale parent looks for a fresher one."""

from foxtailway.distribution.context import CoreContext
from foxtailway.distribution.message import PeerAddress
from foxtailway.distribution.parent_selector import ParentSelector

__all__ = ["StaleComparison"]


class StaleComparison:
    """Choose peers whose freshness is compared with a stale parent's.

    In an outage of the platform every node is stale, so comparisons are rare,
    but for a node that knows no host list yet.

    Parameters
    ----------
    context : CoreContext
        State shared by the parts of the core.
    seeker : ParentSelector
        Knows the peers.
    """

    def __init__(self, *, context: CoreContext, seeker: ParentSelector) -> None:
        self.context = context
        self.seeker = seeker
        self.due_s: float | None = None

    def cancel(self) -> None:
        """Stop comparing."""
        self.due_s = None

    def choose(self, *, avoid: frozenset[str]) -> PeerAddress | None:
        """Return the peer to compare with now, or None."""
        now = self.context.now
        if self.due_s is None:
            self.due_s = now + self.draw_interval_s()
        if now < self.due_s:
            return None
        self.due_s = now + self.draw_interval_s()
        return self.seeker.choose_nearby(now=now, avoid=avoid)

    def draw_interval_s(self) -> float:
        """Return the time to the next comparison, in seconds."""
        if not self.seeker.is_placed:
            return self.seeker.draw_interval_s()
        stale_s = self.context.settings.distribution.stale_s
        return stale_s * self.context.random_source.uniform(0.2, 1.0)
