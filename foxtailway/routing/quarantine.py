"""Containment of requests that crash upstreams."""

from collections import OrderedDict
from dataclasses import dataclass

from xxhash import xxh3_128

from foxtailway.model.host import Host
from foxtailway.routing.outcome import Outcome, Refusal, RefusalReason
from foxtailway.routing.rendezvous import choose_hosts

__all__ = ["CrashContainment", "compute_fingerprint"]

# Shortest time for which a suspect request is remembered after a loss.
SUSPECT_LIFETIME_S = 60.0


def compute_fingerprint(*, method: str, path: str, body: bytes) -> str:
    """Return the fingerprint of a request, which is equal for equal requests.

    Parameters
    ----------
    method : str
        HTTP method.
    path : str
        Request target with its query.
    body : bytes
        Complete body.

    Returns
    -------
    str
        Hexadecimal digest. Headers are not included, since some of them differ
        between repeats of a request.
    """
    digest = xxh3_128(f"{method} {path}\n".encode("utf-8", "surrogateescape"))
    digest.update(body)
    return digest.hexdigest()


@dataclass(slots=True, kw_only=True)
class Suspect:
    """State of a fingerprint whose calls were lost."""

    crashed_hosts: set[str]
    quarantined_until: float
    expires_at: float


class CrashContainment:
    """Containment that limits how many upstreams a crashing request reaches.

    Parameters
    ----------
    host_id : str
        Host of the node, reported in refusals.
    max_entries : int, default=10_000
        Largest number of fingerprints of successful requests, and of suspect
        requests.
    success_s : float, default=60.0
        Time in which a success counts as recent, in seconds.
    suspect_s : float, default=SUSPECT_LIFETIME_S
        Shortest time for which a suspect request is remembered after a loss, in
        seconds.

    Notes
    -----
    A request without a recent success at this node is confined to the hosts
    that rank first for its fingerprint. They are the same at every node, so a
    request that is resent through other nodes reaches no further upstream. A
    request with a recent success and no loss is not confined. After losses on
    `n_crash_hosts` distinct hosts the request is quarantined: the node refuses
    it as not run until the quarantine ends.

    The node that chooses the endpoint passes the cluster's ``n_crash_hosts`` to
    `record_loss`; the local node of the upstream passes 1. A crash loses all
    calls in flight, so other requests become suspects as well. Therefore the
    first loss of a request with a recent success is not counted, and a success
    clears a suspect at the node that observes it. When the table is full, the
    least recently updated suspect is evicted.
    """

    def __init__(
        self,
        *,
        host_id: str,
        max_entries: int = 10_000,
        success_s: float = 60.0,
        suspect_s: float = SUSPECT_LIFETIME_S,
    ) -> None:
        self.host_id = host_id
        self.max_entries = max_entries
        self.success_s = success_s
        self.suspect_s = suspect_s
        self.successes: OrderedDict[str, float] = OrderedDict()
        self.suspects: OrderedDict[str, Suspect] = OrderedDict()

    def check_quarantine(self, request_fingerprint: str, now: float) -> Refusal | None:
        """Return the refusal if the request is in quarantine, otherwise None."""
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
        """Return the hosts to which a request is confined, or None for no bound.

        Parameters
        ----------
        request_fingerprint : str
            Fingerprint of the request.
        endpoints : tuple of Host
            Endpoints among which the hosts are chosen. The bound holds among
            the nodes that pass the same endpoints: if each node passes those of
            its region, confined requests stay in the region and the bound holds
            per region.
        n_crash_hosts : int
            Number of hosts that the request may reach.
        now : float
            Time in seconds.

        Returns
        -------
        frozenset of str or None
            Identifiers of the hosts.
        """
        if self.is_trusted(request_fingerprint, now):
            return None
        hosts = choose_hosts(request_fingerprint, endpoints, n_crash_hosts)
        return frozenset(host.host_id for host in hosts)

    def is_trusted(self, request_fingerprint: str, now: float) -> bool:
        """Return whether a request succeeded recently without a loss since."""
        if request_fingerprint in self.suspects:
            return False
        succeeded_at = self.successes.get(request_fingerprint)
        return succeeded_at is not None and now - succeeded_at <= self.success_s

    def record_success(self, request_fingerprint: str, now: float) -> None:
        """Record that an upstream responded to a request."""
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
        """Record that an upstream was lost while it ran a request.

        Parameters
        ----------
        request_fingerprint : str
            Fingerprint of the request.
        crashed_host_id : str
            Host of the lost upstream.
        n_crash_hosts : int
            Number of distinct lost hosts at which the quarantine starts.
        quarantine_s : float
            Duration of the quarantine, in seconds.
        now : float
            Time in seconds.

        Returns
        -------
        bool
            Whether the request is quarantined from now on.
        """
        is_exempt = self.is_trusted(request_fingerprint, now)
        self.successes.pop(request_fingerprint, None)
        suspect = self.find_or_add_suspect(request_fingerprint, now)
        suspect.expires_at = now + max(self.suspect_s, quarantine_s)
        if is_exempt:
            return False
        suspect.crashed_hosts.add(crashed_host_id)
        if len(suspect.crashed_hosts) < n_crash_hosts:
            return False
        suspect.quarantined_until = now + quarantine_s
        return True

    def start_quarantine(
        self, request_fingerprint: str, *, quarantine_s: float, now: float
    ) -> None:
        """Start the quarantine of a request that another node quarantined."""
        suspect = self.find_or_add_suspect(request_fingerprint, now)
        suspect.quarantined_until = now + quarantine_s
        suspect.expires_at = max(suspect.expires_at, suspect.quarantined_until)

    def find_or_add_suspect(self, request_fingerprint: str, now: float) -> Suspect:
        """Return the suspect's entry, moved to the end or added there."""
        self.remove_expired_suspects(now)
        suspect = self.suspects.get(request_fingerprint)
        if suspect is None:
            suspect = Suspect(
                crashed_hosts=set(), quarantined_until=now, expires_at=now
            )
            self.suspects[request_fingerprint] = suspect
        self.suspects.move_to_end(request_fingerprint)
        if len(self.suspects) > self.max_entries:
            self.suspects.popitem(last=False)
        return suspect

    def remove_expired_suspects(self, now: float) -> None:
        """Remove expired suspects in order, up to the first that has not expired."""
        while self.suspects:
            oldest = next(iter(self.suspects.values()))
            if oldest.expires_at > now:
                return
            self.suspects.popitem(last=False)
