"""Selection of the next possible parent and of the time to dial it."""

from collections import deque
from random import Random

from foxtailway.distribution.backoff import full_jitter_s
from foxtailway.distribution.message import PeerAddress
from foxtailway.settings.model import NodeSettings, SeedAddress

__all__ = ["ParentSelector"]

# Alternates from refusals that are kept.
N_HINTS = 8
# Mean interval at which the preferred parent is dialed again, in silence limits.
PREFERRED_RETRY_SILENCES = 4


class ParentSelector:
    """Select possible parents in turn, with capped exponential backoff.

    Parameters
    ----------
    settings : NodeSettings
        Seeds, retry intervals and the address of the host.
    random_source : Random
        Source of jitter.

    Attributes
    ----------
    candidates : tuple of PeerAddress
        Possible parents in order of preference.
    comparison_peers : tuple of PeerAddress
        Nodes whose freshness is compared with that of a stale parent.
    backup_parents : tuple of PeerAddress
        Nodes dialed when no candidate can be reached.
    retry_at_s : float
        Monotonic time before which no parent is dialed.
    """

    def __init__(self, *, settings: NodeSettings, random_source: Random) -> None:
        self.distribution_settings = settings.distribution
        self.own_address = (settings.host.address, settings.listen.mesh_port)
        self.own_host_id = settings.host.host_id
        self.random_source = random_source
        self.seeds = self.shuffle(
            tuple(
                PeerAddress(host_id=None, address=seed.address, port=seed.port)
                for seed in settings.distribution.seeds
                if (seed.address, seed.port) != self.own_address
            )
        )
        self.candidates: tuple[PeerAddress, ...] = ()
        self.backup_parents: tuple[PeerAddress, ...] = ()
        self.comparison_peers = self.seeds
        self.has_placement = False
        self.unlisted_seeds = self.seeds
        self.hints: deque[PeerAddress] = deque(maxlen=N_HINTS)
        self.blocked_until_s: dict[PeerAddress, float] = {}
        self.cursor = 0
        self.n_failures = 0
        self.retry_at_s = 0.0
        self.preferred_retry_at_s = 0.0

    def shuffle(self, peers: tuple[PeerAddress, ...]) -> tuple[PeerAddress, ...]:
        """Return `peers` in random order."""
        return tuple(self.random_source.sample(peers, k=len(peers)))

    def update_candidates(
        self,
        *,
        candidates: tuple[PeerAddress, ...],
        comparison_peers: tuple[PeerAddress, ...],
        backup_parents: tuple[PeerAddress, ...],
        listed_seeds: frozenset[SeedAddress],
        now: float,
    ) -> None:
        """Apply the candidates of a new topology.

        Seeds that the topology lists are dialed only if they are candidates. The
        others remain usable when no candidate is, because the host list may be
        outdated.
        """
        if candidates != self.candidates or not self.has_placement:
            self.cursor = 0
            self.n_failures = 0
            self.hints.clear()
            self.postpone(now=now)
        self.candidates = candidates
        self.comparison_peers = comparison_peers
        self.backup_parents = backup_parents
        self.has_placement = True
        listed = {(seed.address, seed.port) for seed in listed_seeds}
        self.unlisted_seeds = tuple(
            seed for seed in self.seeds if (seed.address, seed.port) not in listed
        )

    def postpone(self, *, now: float) -> None:
        """Dial no parent before the next retry interval has elapsed."""
        self.retry_at_s = now + self.draw_interval_s()

    def draw_interval_s(self) -> float:
        """Return a random retry interval, in seconds.

        It grows with each pass over the candidates and seeds, not with each failure.
        """
        n_peers = max(1, len(self.candidates) + len(self.unlisted_seeds))
        return full_jitter_s(
            n_failures=self.n_failures // n_peers,
            base_s=self.distribution_settings.retry_base_s,
            max_s=self.distribution_settings.retry_max_s,
            random_source=self.random_source,
        )

    def choose(
        self, *, now: float, excluded: frozenset[str], is_isolated: bool
    ) -> PeerAddress | None:
        """Return the next peer to dial, or None when there is none.

        Parameters
        ----------
        now : float
            Current monotonic time in seconds.
        excluded : frozenset of str
            Host identifiers of the current parent and children.
        is_isolated : bool
            Whether the node has no fresh path to the platform, so that backup
            parents and unlisted seeds are dialed too.
        """
        while self.hints:
            hint = self.hints.popleft()
            if self.is_usable(hint, now=now, excluded=excluded):
                return hint
        peers = self.candidates
        if is_isolated or not self.has_placement:
            peers = self.candidates + self.backup_parents + self.unlisted_seeds
        for step in range(len(peers)):
            index = (self.cursor + step) % len(peers)
            if self.is_usable(peers[index], now=now, excluded=excluded):
                self.cursor = index + 1
                return peers[index]
        return None

    def choose_comparison_peer(
        self, *, now: float, excluded: frozenset[str]
    ) -> PeerAddress | None:
        """Return a random peer to compare with the parent, or None."""
        usable = [
            peer
            for peer in self.comparison_peers
            if self.is_usable(peer, now=now, excluded=excluded)
        ]
        return self.random_source.choice(usable) if usable else None

    def is_usable(
        self, peer: PeerAddress, *, now: float, excluded: frozenset[str]
    ) -> bool:
        """Return whether `peer` may be dialed now."""
        if peer.host_id == self.own_host_id or peer.host_id in excluded:
            return False
        if (peer.address, peer.port) == self.own_address:
            return False
        return self.blocked_until_s.get(peer, now) <= now

    def is_candidate(self, host_id: str | None) -> bool:
        """Return whether a host is a candidate; any host is without a topology."""
        if not self.has_placement:
            return True
        return any(peer.host_id == host_id for peer in self.candidates)

    def is_preferred(self, host_id: str | None) -> bool:
        """Return whether a host is the first candidate, or there is none."""
        return not self.candidates or self.candidates[0].host_id == host_id

    def is_better_placed(self, host_id: str, *, current_host_id: str | None) -> bool:
        """Return whether a host suits the topology better than the current parent."""
        if not self.is_candidate(host_id):
            return False
        return not self.is_candidate(current_host_id) or self.is_preferred(host_id)

    def record_failure(
        self,
        target: PeerAddress,
        *,
        now: float,
        blocked_s: float = 0.0,
        hints: tuple[PeerAddress, ...] = (),
    ) -> None:
        """Record that `target` did not become the parent and schedule the next one.

        Parameters
        ----------
        target : PeerAddress
            Dialed peer.
        now : float
            Current monotonic time in seconds.
        blocked_s : float, default=0.0
            Time for which the peer is not dialed again, in seconds.
        hints : tuple of PeerAddress
            Alternates that the peer named; used only without a topology.
        """
        self.blocked_until_s = {
            peer: until_s
            for peer, until_s in self.blocked_until_s.items()
            if until_s > now
        }
        if blocked_s > 0.0:
            self.blocked_until_s[target] = now + blocked_s
        if not self.has_placement and len(self.hints) + len(hints) <= N_HINTS:
            self.hints.extend(self.shuffle(hints))
        self.postpone(now=now)
        self.n_failures += 1

    def record_parent(self, *, now: float) -> None:
        """Record that a parent was found and reset the backoff."""
        self.n_failures = 0
        self.cursor = 0
        self.hints.clear()
        self.schedule_preferred_retry(now=now)

    def schedule_preferred_retry(self, *, now: float) -> None:
        """Schedule the next dial of the preferred parent."""
        interval_s = PREFERRED_RETRY_SILENCES * self.distribution_settings.silence_s
        self.preferred_retry_at_s = now + interval_s * self.random_source.uniform(
            0.5, 1.5
        )
