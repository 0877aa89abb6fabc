"""Schedule by which a node with a stale parent probes other nodes."""

from foxtailway.distribution.context import CoreContext
from foxtailway.distribution.message import PeerAddress
from foxtailway.distribution.parent_selector import ParentSelector

__all__ = ["StaleComparison"]


class StaleComparison:
    """Choose peers whose freshness is compared with that of a stale parent.

    In an outage of the platform every node is stale, so comparisons are rare. A
    node without a host list compares at the retry interval instead.

    Parameters
    ----------
    context : CoreContext
        State shared by the parts of the core.
    selector : ParentSelector
        Source of the peers.
    """

    def __init__(self, *, context: CoreContext, selector: ParentSelector) -> None:
        self.context = context
        self.selector = selector
        self.due_s: float | None = None

    def cancel(self) -> None:
        """Clear the time of the next comparison."""
        self.due_s = None

    def choose(self, *, excluded: frozenset[str]) -> PeerAddress | None:
        """Return the peer to probe now, or None if no comparison is due.

        The first call after `cancel` only sets the time of the next comparison.
        """
        now = self.context.now
        if self.due_s is None:
            self.due_s = now + self.draw_interval_s()
        if now < self.due_s:
            return None
        self.due_s = now + self.draw_interval_s()
        return self.selector.choose_comparison_peer(now=now, excluded=excluded)

    def draw_interval_s(self) -> float:
        """Return a random interval to the next comparison, in seconds."""
        if not self.selector.has_placement:
            return self.selector.draw_interval_s()
        stale_s = self.context.settings.distribution.stale_s
        return stale_s * self.context.random_source.uniform(0.2, 1.0)
