"""Home of a request key: the one host whose ledger knows the key.

Notes
-----
A caller that wants to send a non-idempotent request again names it by an
idempotency key. All nodes send the requests of one key to its home, the host
that ranks first for the key by rendezvous hashing over the cluster's
endpoints. The node at the home keeps a ledger in memory. Host lists lag, hosts
restart with an empty ledger, and nothing is replicated; so the home runs a
request only when it knows that no other host can have run it.

Promised, for the route's idempotency window, counted from the start of a run,
and for calls whose deadline is shorter than that window: however often and
through whichever nodes a request with one key arrives, it runs at most once.
With A, the largest age of a view, the home knows this when

- it has been up without a restart for the window plus A,
- its host list was confirmed within A, and so was each list before it, or no
  change was missed between two confirmations that lie further apart,
- it has been the key's home throughout the last 2 A, so that all nodes that
  still act agree on the home, and
- each host that was the key's home within the window plus A has confirmed that
  it did not run the key, and will not within the window plus A.

Refused with an unknown outcome, although the request may never have run:

- all keys at a home that restarted, or that missed changes, for the window
  plus A;
- keys whose home changed, for 2 A, and those whose previous home has gone from
  the host list or does not answer, for the window plus A;
- all keys at a node whose host list has not been confirmed for longer than A,
  as in a part of the network that is cut off;
- keys that arrive at a node that is not their home in its own view.

Not promised: repeats that come after the window; repeats without a key, which
nobody can tell from new requests; and endpoints that change and change back
several times within A. A key that a node made itself has no repeats; it needs
no home and is run by any endpoint. A refusal as not run by another node than
the home speaks of that attempt alone, never of earlier ones with the same key.

A request that waits for its upstream while the process is paused must have its
deadline checked again before it is sent.
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

N_VIEWS = 64


class HomeVerdict(Enum):
    """Answer of the guard to a request that wants to run."""

    RUN = "run"
    ASK_PREVIOUS = "ask-previous"
    REFUSE = "refuse"


@dataclass(frozen=True, slots=True, kw_only=True)
class HomeDecision:
    """Tell whether a request with a caller's key may run here.

    Parameters
    ----------
    verdict : HomeVerdict
        Answer of the guard.
    previous_homes : tuple of Host
        Hosts that must all surrender the key first.
    refusal : Refusal or None
        Refusal to use now, or when a previous home does not surrender.
    """

    verdict: HomeVerdict
    previous_homes: tuple[Host, ...]
    refusal: Refusal | None


@dataclass(frozen=True, slots=True, kw_only=True)
class PastView:
    """Endpoints of the cluster until a point in time."""

    endpoints: tuple[Host, ...]
    ended_at: float


def choose_home(key: str, endpoints: tuple[Host, ...]) -> Host | None:
    """Return the home of a key; None without endpoints."""
    return choose_host(key, endpoints)


class HomeGuard:
    """Decide whether a node may run requests with callers' keys.

    Parameters
    ----------
    host_id : str
        Host of the node.
    started_at : float
        Start of the process, in seconds.
    max_view_age_s : float, default=30.0
        Time without a confirmation after which the host list is not relied
        on, in seconds.

    Notes
    -----
    The caller reserves the key in the ledger first, then asks the guard, and
    frees the key when the guard refuses. The module's notes give the promise.
    """

    def __init__(
        self, *, host_id: str, started_at: float, max_view_age_s: float = 30.0
    ) -> None:
        self.host_id = host_id
        self.started_at = started_at
        self.max_view_age_s = max_view_age_s
        self.endpoints: tuple[Host, ...] = ()
        self.listed: Mapping[str, Host] = {}
        self.hosts_version: Version | None = None
        self.past_views: deque[PastView] = deque()
        self.blind_at = started_at
        self.confirmed_at = float("-inf")

    def update(
        self,
        endpoints: tuple[Host, ...],
        listed: Mapping[str, Host],
        hosts_version: Version,
        now: float,
    ) -> None:
        """Take over the endpoints of the node's own cluster.

        To be called before `confirm` when a new version was seen.

        Parameters
        ----------
        endpoints : tuple of Host
            Endpoints that take work.
        listed : Mapping of str to Host
            All hosts by identifier, leaving ones included.
        hosts_version : Version
            Version of the host list.
        now : float
            Time in seconds.
        """
        is_new = hosts_version != self.hosts_version
        if is_new and now - self.confirmed_at > self.max_view_age_s:
            self.blind_at = now
        self.hosts_version = hosts_version
        self.listed = listed
        if endpoints == self.endpoints:
            return
        self.past_views.append(PastView(endpoints=self.endpoints, ended_at=now))
        if len(self.past_views) > N_VIEWS:
            forgotten = self.past_views.popleft()
            self.blind_at = max(self.blind_at, forgotten.ended_at)
        self.endpoints = endpoints

    def confirm(self, confirmed_at: float) -> None:
        """Learn that the host list was the newest one at a time."""
        self.confirmed_at = max(self.confirmed_at, confirmed_at)

    def decide(self, key: str, window_s: float, now: float) -> HomeDecision:
        """Decide about a request with a caller's key.

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
        age_s = self.max_view_age_s
        horizon = now - window_s - age_s
        if now - self.confirmed_at > age_s:
            return self.refuse(1.0)
        if self.blind_at > horizon:
            return self.refuse(self.blind_at - horizon)
        settled_at = now - 2.0 * age_s
        if self.list_homes(key, settled_at) != {self.host_id}:
            return self.refuse(2.0 * age_s)
        previous_ids = self.list_homes(key, horizon) - {self.host_id, None}
        if not previous_ids:
            return HomeDecision(
                verdict=HomeVerdict.RUN, previous_homes=(), refusal=None
            )
        refused = self.refuse(window_s)
        if not previous_ids <= self.listed.keys():
            return refused
        homes = tuple(self.listed[host_id] for host_id in sorted(previous_ids))
        return HomeDecision(
            verdict=HomeVerdict.ASK_PREVIOUS,
            previous_homes=homes,
            refusal=refused.refusal,
        )

    def relinquish(
        self, ledger: RequestLedger, key: str, window_s: float, now: float
    ) -> bool:
        """Answer a new home that asks for a key.

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
            True when this node did not run the key and will not.
        """
        kept_s = window_s + self.max_view_age_s
        if now - self.started_at < kept_s:
            return False
        return ledger.relinquish(key, kept_s, now)

    def list_homes(self, key: str, since: float) -> set[str | None]:
        """Return the key's homes since a time; None stands for no endpoint."""
        views = [view.endpoints for view in self.past_views if view.ended_at > since]
        homes = [choose_home(key, endpoints) for endpoints in (*views, self.endpoints)]
        return {None if home is None else home.host_id for home in homes}

    def refuse(self, retry_after_s: float) -> HomeDecision:
        """Return a refusal with an unknown outcome."""
        refusal = Refusal(
            outcome=Outcome.UNKNOWN,
            reason=RefusalReason.NOT_READY,
            retry_after_s=retry_after_s,
            host_id=self.host_id,
        )
        return HomeDecision(
            verdict=HomeVerdict.REFUSE, previous_homes=(), refusal=refusal
        )
