"""Home of a request key: the host whose ledger records the key.

Notes
-----
A caller identifies the repeats of a non-idempotent request by an idempotency
key. All nodes send the requests with one key to its home, the host that ranks
first for the key by rendezvous hashing over the cluster's endpoints. The node
at the home keeps a ledger in memory. Host lists are eventually consistent, hosts
restart with an empty ledger, and nothing is replicated. Therefore the home runs
a request only if it knows that no other host can have run it.

Guaranteed: a request with one key runs at most once, regardless of the number of
attempts and of the nodes that send them. The guarantee holds for the route's
idempotency window, counted from the start of a run, and for calls whose deadline
is shorter than that window. A view is a node's copy of the host list. With A, the
largest age of a view, the home runs a request only if

- it has been up without a restart for the window plus A,
- its host list was confirmed within A, and so was each list before it, or no
  change was missed between two confirmations that are further apart,
- it has been the key's home throughout the last 2 A, so that all nodes with a
  confirmed view agree on the home, and
- each host that was the key's home within the window plus A has confirmed that
  it did not run the key, and will not within the window plus A.

Refused with an unknown outcome, although the request may never have run:

- all keys at a home that restarted, or that missed changes, for the window
  plus A;
- keys whose home changed, for 2 A, and those whose previous home is no longer
  in the host list or does not respond, for the window plus A;
- all keys at a node whose host list has not been confirmed for longer than A,
  as in a network partition;
- keys that arrive at a node that is not their home in its view.

Not guaranteed: repeats after the window; repeats without a key, which cannot be
distinguished from new requests; and requests while endpoints change back and forth
several times within A. A key that a node generated has no repeats; it needs no
home, and any endpoint may run its request. A refusal as not run by a node that is
not the home concerns only that attempt, never earlier ones with the same key.

The deadline of a request that waits for its upstream while the process is paused
must be checked again before the request is sent.
"""

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from foxtailway.model.host import Host
from foxtailway.model.version import Version
from foxtailway.routing.ledger import RequestLedger
from foxtailway.routing.outcome import Outcome, Refusal, RefusalReason
from foxtailway.routing.rendezvous import choose_host

__all__ = ["HomeDecision", "HomeGuard", "HomeVerdict", "choose_home"]

# Past views that a node remembers; beyond these the oldest one is evicted.
MAX_PAST_VIEWS = 64


class HomeVerdict(Enum):
    """Verdict of the guard on a request that is about to run."""

    RUN = "run"
    ASK_PREVIOUS = "ask-previous"
    REFUSE = "refuse"


@dataclass(frozen=True, slots=True, kw_only=True)
class HomeDecision:
    """Decision whether a request with a caller's key may run at this node.

    Parameters
    ----------
    verdict : HomeVerdict
        Verdict of the guard.
    previous_homes : tuple of Host
        Hosts that must all relinquish the key first.
    refusal : Refusal or None
        Refusal for the verdict ``REFUSE``, or if a previous home does not
        relinquish the key.
    """

    verdict: HomeVerdict
    previous_homes: tuple[Host, ...]
    refusal: Refusal | None


@dataclass(frozen=True, slots=True, kw_only=True)
class PastView:
    """Endpoints of the cluster in a view that ended at `ended_at`."""

    endpoints: tuple[Host, ...]
    ended_at: float


def choose_home(key: str, endpoints: tuple[Host, ...]) -> Host | None:
    """Return the home of a key, or None if there are no endpoints."""
    return choose_host(key, endpoints)


class HomeGuard:
    """Guard that decides whether a node may run requests with callers' keys.

    Parameters
    ----------
    host_id : str
        Host of the node.
    started_at : float
        Start time of the process, in seconds.
    max_view_age_s : float, default=30.0
        Time without a confirmation after which the host list counts as stale,
        in seconds.

    Attributes
    ----------
    view_gap_at : float
        Time of the last possible gap in the history of views, in seconds.

    Notes
    -----
    The caller reserves the key in the ledger first, then calls `decide`, and
    releases the key if the guard refuses. The notes of the module state the
    guarantee.
    """

    def __init__(
        self, *, host_id: str, started_at: float, max_view_age_s: float = 30.0
    ) -> None:
        self.host_id = host_id
        self.started_at = started_at
        self.max_view_age_s = max_view_age_s
        self.endpoints: tuple[Host, ...] = ()
        self.hosts_by_id: Mapping[str, Host] = {}
        self.hosts_version: Version | None = None
        self.past_views: deque[PastView] = deque()
        self.view_gap_at = started_at
        self.confirmed_at = float("-inf")

    def update(
        self,
        endpoints: tuple[Host, ...],
        hosts_by_id: Mapping[str, Host],
        hosts_version: Version,
        now: float,
    ) -> None:
        """Apply the endpoints of the node's cluster.

        Called before `confirm` if the version is new.

        Parameters
        ----------
        endpoints : tuple of Host
            Endpoints that accept calls.
        hosts_by_id : Mapping of str to Host
            All hosts by identifier, including those that are leaving.
        hosts_version : Version
            Version of the host list.
        now : float
            Time in seconds.
        """
        is_new = hosts_version != self.hosts_version
        if is_new and now - self.confirmed_at > self.max_view_age_s:
            self.view_gap_at = now
        self.hosts_version = hosts_version
        self.hosts_by_id = hosts_by_id
        if endpoints == self.endpoints:
            return
        self.past_views.append(PastView(endpoints=self.endpoints, ended_at=now))
        if len(self.past_views) > MAX_PAST_VIEWS:
            evicted = self.past_views.popleft()
            self.view_gap_at = max(self.view_gap_at, evicted.ended_at)
        self.endpoints = endpoints

    def confirm(self, confirmed_at: float) -> None:
        """Record that the host list was the newest one at `confirmed_at`."""
        self.confirmed_at = max(self.confirmed_at, confirmed_at)

    def decide(self, key: str, window_s: float, now: float) -> HomeDecision:
        """Decide whether a request with a caller's key may run.

        Parameters
        ----------
        key : str
            Key of the request.
        window_s : float
            Idempotency window of the route, in seconds.
        now : float
            Time in seconds.

        Returns
        -------
        HomeDecision
            Run, ask the previous homes first, or refuse.
        """
        max_age_s = self.max_view_age_s
        history_start_at = now - window_s - max_age_s
        if now - self.confirmed_at > max_age_s:
            return self.refuse(1.0)
        if self.view_gap_at > history_start_at:
            return self.refuse(self.view_gap_at - history_start_at)
        stable_since = now - 2.0 * max_age_s
        if self.collect_home_ids(key, stable_since) != {self.host_id}:
            return self.refuse(2.0 * max_age_s)
        previous_ids = self.collect_home_ids(key, history_start_at) - {
            self.host_id,
            None,
        }
        if not previous_ids:
            return HomeDecision(
                verdict=HomeVerdict.RUN, previous_homes=(), refusal=None
            )
        refused = self.refuse(window_s)
        if not previous_ids <= self.hosts_by_id.keys():
            return refused
        homes = tuple(self.hosts_by_id[host_id] for host_id in sorted(previous_ids))
        return HomeDecision(
            verdict=HomeVerdict.ASK_PREVIOUS,
            previous_homes=homes,
            refusal=refused.refusal,
        )

    def relinquish(
        self, ledger: RequestLedger, key: str, window_s: float, now: float
    ) -> bool:
        """Give up a key to the new home that requests it.

        Parameters
        ----------
        ledger : RequestLedger
            Ledger of this node.
        key : str
            Key of the request.
        window_s : float
            Idempotency window of the route, in seconds.
        now : float
            Time in seconds.

        Returns
        -------
        bool
            Whether this node did not run the key and will not within the window
            plus the largest age of a view. False if the process started too
            recently to know.
        """
        retention_s = window_s + self.max_view_age_s
        if now - self.started_at < retention_s:
            return False
        return ledger.relinquish(key, retention_s, now)

    def collect_home_ids(self, key: str, since: float) -> set[str | None]:
        """Return the identifiers of the key's homes since a time.

        None stands for a view without endpoints.
        """
        views = [view.endpoints for view in self.past_views if view.ended_at > since]
        homes = [choose_home(key, endpoints) for endpoints in (*views, self.endpoints)]
        return {None if home is None else home.host_id for home in homes}

    def refuse(self, retry_after_s: float) -> HomeDecision:
        """Return the decision that a request is refused with an unknown outcome."""
        refusal = Refusal(
            outcome=Outcome.UNKNOWN,
            reason=RefusalReason.NOT_READY,
            retry_after_s=retry_after_s,
            host_id=self.host_id,
        )
        return HomeDecision(
            verdict=HomeVerdict.REFUSE, previous_homes=(), refusal=refusal
        )
