"""Ledger of non-idempotent requests at the node beside the upstream."""

from dataclasses import dataclass
from enum import Enum
from hashlib import blake2b
from heapq import heappop, heappush

from foxtailway.routing.outcome import Outcome, Refusal, RefusalReason

__all__ = [
    "LedgerDecision",
    "LedgerVerdict",
    "RequestLedger",
    "digest_request_key",
]

KEY_SIZE_BYTES = 16


class LedgerVerdict(Enum):
    """Answer of the ledger to a request that wants to run."""

    RUN = "run"
    REPEATED = "repeated"
    FULL = "full"


@dataclass(frozen=True, slots=True, kw_only=True)
class LedgerDecision:
    """Tell whether a request may run.

    Parameters
    ----------
    verdict : LedgerVerdict
        Answer of the ledger.
    refusal : Refusal or None
        Refusal for the caller unless the request may run.
    """

    verdict: LedgerVerdict
    refusal: Refusal | None


@dataclass(slots=True, kw_only=True)
class LedgerEntry:
    """Hold what is known of one key; the outcome is None while it runs."""

    outcome: Outcome | None
    window_s: float


def digest_request_key(*, cluster_name: str, value: str) -> str:
    """Return the fixed-size key of a request within one cluster.

    Parameters
    ----------
    cluster_name : str
        Cluster that serves the request.
    value : str
        Idempotency key as sent by the caller or made by the node.

    Returns
    -------
    str
        Hexadecimal digest; equal values of two clusters differ.
    """
    digest = blake2b(digest_size=KEY_SIZE_BYTES)
    digest.update(cluster_name.encode())
    digest.update(b"\0")
    digest.update(value.encode("utf-8", "surrogateescape"))
    return digest.hexdigest()


class RequestLedger:
    """Let each request key run at most once within a window.

    Parameters
    ----------
    host_id : str
        Host of the node, named in refusals.
    max_entries : int
        Keys that are kept; further requests are refused as not run.

    Notes
    -----
    A key is kept from `begin` until its window has passed since `finish`. A
    request that did not run frees its key at once. No key is dropped before its
    time: a full ledger refuses new requests instead.
    """

    def __init__(self, *, host_id: str, max_entries: int) -> None:
        self.host_id = host_id
        self.max_entries = max_entries
        self.entries: dict[str, LedgerEntry] = {}
        self.expiries: list[tuple[float, str]] = []

    def begin(self, key: str, window_s: float, now: float) -> LedgerDecision:
        """Ask to run a request.

        Parameters
        ----------
        key : str
            Key of the request, see `digest_request_key`.
        window_s : float
            Time for which repeats are recognised after the end, in seconds.
        now : float
            Time in seconds.

        Returns
        -------
        LedgerDecision
            RUN when the key is new; `finish` must follow.
        """
        self.expire(now)
        entry = self.entries.get(key)
        if entry is not None:
            outcome = entry.outcome or Outcome.UNKNOWN
            return self.refuse(
                LedgerVerdict.REPEATED, outcome, RefusalReason.REPEATED, 0.0
            )
        if len(self.entries) >= self.max_entries:
            return self.refuse_full(now)
        self.entries[key] = LedgerEntry(outcome=None, window_s=window_s)
        return LedgerDecision(verdict=LedgerVerdict.RUN, refusal=None)

    def finish(self, key: str, outcome: Outcome, now: float) -> None:
        """Record the end of a request that was begun; others are ignored."""
        entry = self.entries.get(key)
        if entry is None or entry.outcome is not None:
            return
        if outcome is Outcome.NOT_RUN:
            del self.entries[key]
            return
        entry.outcome = outcome
        heappush(self.expiries, (now + entry.window_s, key))

    def relinquish(self, key: str, window_s: float, now: float) -> bool:
        """Give up a key to a new home that asks for it.

        Parameters
        ----------
        key : str
            Key that another node wants to run.
        window_s : float
            Time for which this ledger then refuses the key, in seconds.
        now : float
            Time in seconds.

        Returns
        -------
        bool
            True when the key was not begun here and will not be.
        """
        self.expire(now)
        if key in self.entries or len(self.entries) >= self.max_entries:
            return False
        self.entries[key] = LedgerEntry(outcome=Outcome.UNKNOWN, window_s=window_s)
        heappush(self.expiries, (now + window_s, key))
        return True

    def expire(self, now: float) -> None:
        """Forget the keys whose window has passed."""
        while self.expiries and self.expiries[0][0] <= now:
            _, key = heappop(self.expiries)
            del self.entries[key]

    def refuse_full(self, now: float) -> LedgerDecision:
        """Refuse a request for which there is no room."""
        retry_after_s = self.expiries[0][0] - now if self.expiries else 1.0
        return self.refuse(
            LedgerVerdict.FULL,
            Outcome.NOT_RUN,
            RefusalReason.OVERLOADED,
            retry_after_s,
        )

    def refuse(
        self,
        verdict: LedgerVerdict,
        outcome: Outcome,
        reason: RefusalReason,
        retry_after_s: float,
    ) -> LedgerDecision:
        """Return a refusal."""
        refusal = Refusal(
            outcome=outcome,
            reason=reason,
            retry_after_s=retry_after_s,
            host_id=self.host_id,
        )
        return LedgerDecision(verdict=verdict, refusal=refusal)
