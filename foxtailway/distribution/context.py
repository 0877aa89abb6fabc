"""State and pending actions shared by the parts of the distribution core."""

from itertools import count
from random import Random
from typing import Any

from foxtailway.common.failure import Failure, FailureKind, Step
from foxtailway.distribution.action import Action, CloseLink, ReportFailure, Send
from foxtailway.distribution.freshness import Freshness
from foxtailway.distribution.link import Link, LinkTable
from foxtailway.settings.model import NodeSettings

__all__ = ["CoreContext"]


class CoreContext:
    """Hold the shared state and the pending actions of one core.

    Parameters
    ----------
    settings : NodeSettings
        Settings of the node.
    random_source : Random
        Source of jitter.
    now : float
        Current monotonic time in seconds.

    Attributes
    ----------
    links : LinkTable
        Streams of the node.
    freshness : Freshness
        Age of the platform's last confirmation.
    actions : list of Action
        Actions to be returned to the caller of the core.
    last_failure : Failure or None
        Most recently reported failure.
    n_refused_older : int
        Offers refused because the version was older or conflicting.
    """

    def __init__(
        self, *, settings: NodeSettings, random_source: Random, now: float
    ) -> None:
        self.settings = settings
        self.random_source = random_source
        self.now = now
        self.links = LinkTable()
        self.freshness = Freshness(stale_s=settings.distribution.stale_s)
        self.actions: list[Action] = []
        self.link_ids = count(1)
        self.last_failure: Failure | None = None
        self.n_refused_older = 0

    def send(self, link: Link, message: Any) -> None:
        """Send a message over a stream."""
        link.last_sent_s = self.now
        self.actions.append(Send(link_id=link.link_id, message=message))

    def close(self, link: Link) -> None:
        """Remove a stream from the table and close it."""
        self.links.links.pop(link.link_id, None)
        self.actions.append(CloseLink(link_id=link.link_id))

    def report(self, failure: Failure) -> None:
        """Report a failure to the observer."""
        self.last_failure = failure
        self.actions.append(ReportFailure(failure=failure))

    def report_failure(
        self, step: Step, kind: FailureKind, *, peer: str, detail: str
    ) -> None:
        """Report a failure that the core itself detected."""
        self.report(Failure(step=step, kind=kind, peer=peer, detail=detail))
