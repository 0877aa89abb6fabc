"""Containment of requests that crash the upstreams that run them."""

from collections import OrderedDict
from dataclasses import dataclass

from xxhash import xxh3_128

from foxtailway.model.host import Host
from foxtailway.routing.outcome import Outcome, Refusal, RefusalReason
from foxtailway.routing.rendezvous import choose_hosts

__all__ = ["CrashContainment", "compute_fingerprint"]

CRASH_MEMORY_S = 60.0


def compute_fingerprint(*, method: str, path: str, body: bytes) -> str:
    """Return the fingerprint of a request, equal for equal requests.

    Parameters
    ----------
    method : str
        HTTP method.
    path : str
        Request target with its query.
    body : bytes
        Whole body.

    Returns
    -------
    str
        Hexadecimal digest. Headers do not count, since repeats of one request
        differ in some of them.
    """
    digest = xxh3_128(f"{method} {path}\n".encode("utf-8", "surrogateescape"))
    digest.update(body)
    return digest.hexdigest()


@dataclass(slots=True, kw_only=True)
class Suspect:
    """Hold what is known of a fingerprint whose calls were lost."""

    crashed_hosts: set[str]
    quarantined_until: float
    forget_at: float


class CrashContainment:
    """Keep a request that crashes upstreams from reaching many of them.

    Parameters
    ----------
    host_id : str
        Host of the node, named in refusals.
    max_entries : int, default=10_000
        Fingerprints that are kept of successful and of suspect requests each.
    success_s : float, default=60.0
        Time for which a success counts as recent, in seconds.

    Notes
    -----
    A request without a recent success at this node is confined to the hosts
    that rank first for its fingerprint, which are the same at every node: sent
    again through other nodes it reaches no further upstream. A request with a
    recent success and no loss spreads freely. Losses on enough distinct hosts
    lead to quarantine: the node refuses the request as not run for a while.

    The node that chooses the endpoint uses the cluster's ``n_crash_hosts`` as
    the limit of `record_loss`; the node beside the upstream uses 1. A crash
    loses all calls in flight, so bystanders are suspected as well: a request
    with a recent success is forgiven its first loss, and a success clears a
    suspect at the node that sees it. When no room is left, the least recent
    suspect makes way.
    """

    def __init__(
        self, *, host_id: str, max_entries: int = 10_000, success_s: float = 60.0
    ) -> None:
        self.host_id = host_id
        self.max_entries = max_entries
        self.success_s = success_s
        self.successes: OrderedDict[str, float] = OrderedDict()
        self.suspects: OrderedDict[str, Suspect] = OrderedDict()

    def check_quarantine(self, request_fingerprint: str, now: float) -> Refusal | None:
        """Return the refusal of a quarantined request, or None."""
        suspect = self.suspects.get(request_fingerprint)
        if suspect is None or suspect.quarantined_until <= now:
            return None
        return Refusal(
            outcome=Outcome.NOT_RUN,
            reason=RefusalReason.QUARANTINED,
            retry_after_s=suspect.quarantined_until - now,
            host_id=self.host_id,
        )

    def list_candidates(
        self,
        request_fingerprint: str,
        endpoints: tuple[Host, ...],
        n_crash_hosts: int,
        now: float,
    ) -> frozenset[str] | None:
        """Return the hosts to which a request is confined, or None for all.

        Parameters
        ----------
        request_fingerprint : str
            Fingerprint of the request.
        endpoints : tuple of Host
            Endpoints among which hosts are chosen. The bound holds among the
            nodes that pass the same ones: with those of the node's own region
            no such request crosses the link, and the bound holds per region.
        n_crash_hosts : int
            Hosts that the request may reach.
        now : float
            Time in seconds.

        Returns
        -------
        frozenset of str or None
            Host identifiers.
        """
        if self.is_trusted(request_fingerprint, now):
            return None
        hosts = choose_hosts(request_fingerprint, endpoints, n_crash_hosts)
        return frozenset(host.host_id for host in hosts)

    def is_trusted(self, request_fingerprint: str, now: float) -> bool:
        """Whether a request succeeded of late and has not been lost since."""
        if request_fingerprint in self.suspects:
            return False
        succeeded_at = self.successes.get(request_fingerprint)
        return succeeded_at is not None and now - succeeded_at <= self.success_s

    def record_success(self, request_fingerprint: str, now: float) -> None:
        """Learn that an upstream answered a request."""
        self.suspects.pop(request_fingerprint, None)
        self.successes[request_fingerprint] = now
        self.successes.move_to_end(request_fingerprint)
        if len(self.successes) > self.max_entries:
            self.successes.popitem(last=False)

    def record_loss(
        self,
        request_fingerprint: str,
        crashed_host_id: str,
        *,
        n_crash_hosts: int,
        quarantine_s: float,
        now: float,
    ) -> bool:
        """Learn that an upstream was lost while it ran a request.

        Parameters
        ----------
        request_fingerprint : str
            Fingerprint of the request.
        crashed_host_id : str
            Host of the lost upstream.
        n_crash_hosts : int
            Distinct hosts whose loss leads to quarantine.
        quarantine_s : float
            Time for which the request is refused, in seconds.
        now : float
            Time in seconds.

        Returns
        -------
        bool
            True when the request is quarantined from now on.
        """
        is_forgiven = self.is_trusted(request_fingerprint, now)
        self.successes.pop(request_fingerprint, None)
        suspect = self.find_suspect(request_fingerprint, now)
        suspect.forget_at = now + max(CRASH_MEMORY_S, quarantine_s)
        if is_forgiven:
            return False
        suspect.crashed_hosts.add(crashed_host_id)
        if len(suspect.crashed_hosts) < n_crash_hosts:
            return False
        suspect.quarantined_until = now + quarantine_s
        return True

    def start_quarantine(
        self, request_fingerprint: str, *, quarantine_s: float, now: float
    ) -> None:
        """Quarantine a request that another node has put under quarantine."""
        suspect = self.find_suspect(request_fingerprint, now)
        suspect.quarantined_until = now + quarantine_s
        suspect.forget_at = max(suspect.forget_at, suspect.quarantined_until)

    def find_suspect(self, request_fingerprint: str, now: float) -> Suspect:
        """Return the entry of a suspect as the most recent one."""
        self.forget_old(now)
        suspect = self.suspects.get(request_fingerprint)
        if suspect is None:
            suspect = Suspect(crashed_hosts=set(), quarantined_until=now, forget_at=now)
            self.suspects[request_fingerprint] = suspect
        self.suspects.move_to_end(request_fingerprint)
        if len(self.suspects) > self.max_entries:
            self.suspects.popitem(last=False)
        return suspect

    def forget_old(self, now: float) -> None:
        """Forget old suspects from the least recent one on."""
        while self.suspects:
            oldest = next(iter(self.suspects.values()))
            if oldest.forget_at > now:
                return
            self.suspects.popitem(last=False)
