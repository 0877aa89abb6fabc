"""Choice of the next possible parent and of the time to try it."""

from collections import deque
from random import Random

from foxtailway.distribution.backoff import full_jitter_s
from foxtailway.distribution.message import PeerAddress
from foxtailway.settings.model import NodeSettings, SeedAddress

__all__ = ["ParentSelector"]

N_HINTS = 8
REHOME_SILENCES = 4


class ParentSelector:
    """Walk over possible parents, with capped exponential backoff.

    Parameters
    ----------
    settings : NodeSettings
        Seeds, retry intervals and the own address.
    random_source : Random
        Source of jitter.

    Attributes
    ----------
    candidates : tuple of PeerAddress
        Possible parents by preference.
    nearby : tuple of PeerAddress
        Nodes with which a stale parent is compared.
    rescuers : tuple of PeerAddress
        Nodes asked when the node lost every candidate.
    retry_at_s : float
        Time before which no parent is tried.
    """

    def __init__(self, *, settings: NodeSettings, random_source: Random) -> None:
        self.sizes = settings.distribution
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
        self.rescuers: tuple[PeerAddress, ...] = ()
        self.nearby = self.seeds
        self.is_placed = False
        self.last_resorts = self.seeds
        self.hints: deque[PeerAddress] = deque(maxlen=N_HINTS)
        self.blocked_until_s: dict[PeerAddress, float] = {}
        self.cursor = 0
        self.n_failures = 0
        self.retry_at_s = 0.0
        self.rehome_at_s = 0.0

    def shuffle(self, peers: tuple[PeerAddress, ...]) -> tuple[PeerAddress, ...]:
        """Return `peers` in random order."""
        return tuple(self.random_source.sample(peers, k=len(peers)))

    def place(
        self,
        *,
        candidates: tuple[PeerAddress, ...],
        nearby: tuple[PeerAddress, ...],
        rescuers: tuple[PeerAddress, ...],
        listed_seeds: frozenset[SeedAddress],
        now: float,
    ) -> None:
        """Take over the candidates of a new topology.

        Seeds that the topology lists are left to their own rank; the others
        stay as last resort for a host list that is long out of date.
        """
        if candidates != self.candidates or not self.is_placed:
            self.cursor = 0
            self.n_failures = 0
            self.hints.clear()
            self.postpone(now=now)
        self.candidates = candidates
        self.nearby = nearby
        self.rescuers = rescuers
        self.is_placed = True
        listed = {(seed.address, seed.port) for seed in listed_seeds}
        self.last_resorts = tuple(
            seed for seed in self.seeds if (seed.address, seed.port) not in listed
        )

    def postpone(self, *, now: float) -> None:
        """Try no parent before the next interval is over."""
        self.retry_at_s = now + self.draw_interval_s()

    def draw_interval_s(self) -> float:
        """Return the next interval between tries, in seconds."""
        n_peers = max(1, len(self.candidates) + len(self.last_resorts))
        return full_jitter_s(
            n_failures=self.n_failures // n_peers,
            base_s=self.sizes.retry_base_s,
            max_s=self.sizes.retry_max_s,
            random_source=self.random_source,
        )

    def choose(
        self, *, now: float, avoid: frozenset[str], is_lost: bool
    ) -> PeerAddress | None:
        """Return the next peer to try, or None when there is none.

        Parameters
        ----------
        now : float
            Current time in seconds.
        avoid : frozenset of str
            Host identifiers of the present parent and children.
        is_lost : bool
            Whether the node lacks a fresh parent, so that rescuers count too.
        """
        while self.hints:
            hint = self.hints.popleft()
            if self.is_usable(hint, now=now, avoid=avoid):
                return hint
        peers = self.candidates
        if is_lost or not self.is_placed:
            peers = self.candidates + self.rescuers + self.last_resorts
        for step in range(len(peers)):
            index = (self.cursor + step) % len(peers)
            if self.is_usable(peers[index], now=now, avoid=avoid):
                self.cursor = index + 1
                return peers[index]
        return None

    def choose_nearby(self, *, now: float, avoid: frozenset[str]) -> PeerAddress | None:
        """Return a random peer with which to compare the parent, or None."""
        usable = [
            peer for peer in self.nearby if self.is_usable(peer, now=now, avoid=avoid)
        ]
        return self.random_source.choice(usable) if usable else None

    def is_usable(
        self, peer: PeerAddress, *, now: float, avoid: frozenset[str]
    ) -> bool:
        """Tell whether `peer` may be tried now."""
        if peer.host_id == self.own_host_id or peer.host_id in avoid:
            return False
        if (peer.address, peer.port) == self.own_address:
            return False
        return self.blocked_until_s.get(peer, now) <= now

    def is_candidate(self, host_id: str | None) -> bool:
        """Tell whether a parent fits the topology, or there is none yet."""
        if not self.is_placed:
            return True
        return any(peer.host_id == host_id for peer in self.candidates)

    def is_preferred(self, host_id: str | None) -> bool:
        """Tell whether a parent is the first candidate."""
        return not self.candidates or self.candidates[0].host_id == host_id

    def is_nearer_home(self, host_id: str, *, than: str | None) -> bool:
        """Tell whether the topology puts the node below a host rather."""
        if not self.is_candidate(host_id):
            return False
        return not self.is_candidate(than) or self.is_preferred(host_id)

    def note_failure(
        self,
        target: PeerAddress,
        *,
        now: float,
        blocked_s: float = 0.0,
        hints: tuple[PeerAddress, ...] = (),
    ) -> None:
        """Note that `target` is no parent, and when to try the next one."""
        self.blocked_until_s = {
            peer: until_s
            for peer, until_s in self.blocked_until_s.items()
            if until_s > now
        }
        if blocked_s > 0.0:
            self.blocked_until_s[target] = now + blocked_s
        if not self.is_placed and len(self.hints) + len(hints) <= N_HINTS:
            self.hints.extend(self.shuffle(hints))
        self.postpone(now=now)
        self.n_failures += 1

    def note_parent(self, *, now: float) -> None:
        """Note that a parent was found."""
        self.n_failures = 0
        self.cursor = 0
        self.hints.clear()
        self.schedule_rehome(now=now)

    def schedule_rehome(self, *, now: float) -> None:
        """Choose when the preferred parent is tried again."""
        interval_s = REHOME_SILENCES * self.sizes.silence_s
        self.rehome_at_s = now + interval_s * self.random_source.uniform(0.5, 1.5)
