"""Quarantine of requests that crash the upstreams that run them."""

from collections import OrderedDict
from collections.abc import Collection
from dataclasses import dataclass

from foxtailway.common.clock import Clock
from foxtailway.routing.quarantine import CrashContainment, compute_fingerprint
from foxtailway.sidecar.peer_message import PeerCrash

__all__ = ["MAX_SUSPECTS", "CrashGuard"]

# Number of upstreams crashed by a request after which it is refused. The rules of
# the platform allow three crashes and a few retries.
N_CRASHES_TO_QUARANTINE = 2
# The same if load may have caused the crashes.
N_WEAK_CRASHES_TO_QUARANTINE = 3
# Other requests that two crashes may have in common if a request of both is refused
# although load may have caused them. The retries of a crashed upstream's requests
# meet again in the next crashes, so that a larger number says nothing about each.
MAX_OTHERS_IN_COMMON = 2
# Time before such a second crash in which no upstream may have crashed without the
# request: such a crash shows another cause.
RECENT_CRASH_S = 30.0
# Time for which the request is then refused.
QUARANTINE_S = 30.0
# Factor of that time for each further crash, so that a request that comes again for
# hours reaches few upstreams.
QUARANTINE_GROWTH = 8
# The same if load may have caused the crashes. With the larger factor, a request
# reaches three upstreams in a day after it has crashed the third, as with the others.
WEAK_QUARANTINE_GROWTH = 16
# Crashes beyond which the time no longer grows; it is at its upper bound by then.
MAX_QUARANTINE_STEPS = 4
# Upper bound of that time: one day.
MAX_QUARANTINE_S = 86_400.0
# Time after its last crash for which a request is remembered, longer than the longest
# quarantine.
SUSPECT_LIFETIME_S = 2 * MAX_QUARANTINE_S
# Suspects of one crash, about the most slots that an upstream has.
MAX_SUSPECTS = 64
# Length of the fingerprints in notices, in hexadecimal digits. With 64 bits, two of
# 10,000 requests have the same one with a probability of 3e-12.
FINGERPRINT_LENGTH = 16
# Requests tracked at once. With the crashes below, they take 3.5 MB at 16 suspects a
# crash and 6.5 MB at 64. The 126 crashes of a power loss had about 2,000 suspects.
MAX_SUSPECTED_REQUESTS = 4_000
# Crashes remembered at once, with their suspects.
MAX_KNOWN_CRASHES = 500
# Notices of answers remembered at once, so that each is forwarded once. Nodes send more
# of them than there are crashes, and they must not displace crashes.
MAX_KNOWN_ANSWERS = 500
# Time after a crash for which further notices of it are forwarded. Later ones come
# from peers that exchange what they know on a new stream.
LATE_NOTICE_S = 1.0
# Crashes of which a new peer is told.
MAX_RECENT_CRASHES = 64
# Size of a body in bytes up to which successes are recorded before any crash. Requests
# with larger bodies are rarely equal.
MAX_TRUSTED_BODY_SIZE = 65_536


@dataclass(slots=True, kw_only=True)
class CrashRecord:
    """Known crash: whether load may have caused it, its time and its suspects."""

    is_weak: bool
    recorded_at: float
    suspects: frozenset[str] = frozenset()


class CrashGuard:
    """Detect requests that crashed several upstreams of the mesh.

    Parameters
    ----------
    host_id : str
        Identifier of the host of the sidecar.
    clock : Clock
        Source of time.

    Attributes
    ----------
    known_crashes : OrderedDict of str to CrashRecord
        Last crashes by their identifiers.
    known_answers : OrderedDict of str to CrashRecord
        Last notices without suspects, which tell of answers, by their identifiers.
    weak_suspects : OrderedDict of str to None
        Fingerprints of requests that were lost in one crash, which load may have
        caused. They are evicted before all other suspects.
    unsent_answers : dict of str to None
        Fingerprints of requests that a response has cleared at this node only.
    quarantined_until : float
        Time at which the last known quarantine ends, in seconds.

    Notes
    -----
    A crash loses all requests in flight, so those beside the harmful one are suspects
    as well. When an upstream responds to a request, the sidecars that see the response
    no longer suspect it, and don't count its next crash. Notices of crashes that load
    may have caused tell the others about such responses.

    A request is refused after two crashes that load does not explain. If load may
    explain one of them, it is refused after two only if the crashes have few others in
    common and all recent crashes of the mesh lost it, and otherwise after three.
    """

    def __init__(self, *, host_id: str, clock: Clock) -> None:
        self.clock = clock
        self.known_crashes: OrderedDict[str, CrashRecord] = OrderedDict()
        self.known_answers: OrderedDict[str, CrashRecord] = OrderedDict()
        self.weak_suspects: OrderedDict[str, None] = OrderedDict()
        self.quarantined_until = float("-inf")
        self.unsent_answers: dict[str, None] = {}
        self.n_answer_notices = 0
        self.host_id = host_id
        self.containment = CrashContainment(
            host_id=host_id,
            max_entries=MAX_SUSPECTED_REQUESTS,
            suspect_s=SUSPECT_LIFETIME_S,
        )

    def is_quarantined(self, method: str, target: str, body: bytes) -> bool:
        """Return whether a request is quarantined."""
        now = self.clock.now()
        if now >= self.quarantined_until:
            return False
        fingerprint = compute_short_fingerprint(method, target, body)
        return self.containment.check_quarantine(fingerprint, now) is not None

    def is_known(self, notice: PeerCrash) -> bool:
        """Return whether a crash has been recorded with all suspects of a notice."""
        record = self.find_record(notice)
        return record is not None and record.suspects.issuperset(notice.suspects)

    def find_record(self, notice: PeerCrash) -> CrashRecord | None:
        """Return the record of the crash or the answers of a notice, or None."""
        known = self.known_crashes if notice.suspects else self.known_answers
        return known.get(notice.crash_id)

    def is_recent(self, notice: PeerCrash) -> bool:
        """Return whether a notice is new, or known for less than `LATE_NOTICE_S`."""
        record = self.find_record(notice)
        return record is None or self.clock.now() - record.recorded_at < LATE_NOTICE_S

    def make_notice(
        self, crash_id: str, fingerprints: Collection[str], *, is_weak: bool
    ) -> PeerCrash:
        """Return the notice of a crash of the local upstream.

        Parameters
        ----------
        crash_id : str
            Identifier of the crash.
        fingerprints : collection of str
            Fingerprints of the lost requests. If they are too many, those that were
            suspected before are kept, and then those that have no answer.
        is_weak : bool
            Whether load may have caused the crash.
        """
        now = self.clock.now()
        suspects = self.containment.suspects
        unique = dict.fromkeys(
            fingerprint[:FINGERPRINT_LENGTH] for fingerprint in fingerprints
        )
        answered = {key for key in unique if self.containment.is_trusted(key, now)}
        kept = sorted(unique, key=lambda key: (key not in suspects, key in answered))[
            :MAX_SUSPECTS
        ]
        return PeerCrash(
            crash_id=crash_id,
            suspects=tuple(kept),
            answered=tuple(key for key in kept if key in answered),
            is_weak=is_weak,
        )

    def record_crash(self, notice: PeerCrash) -> list[str]:
        """Record a crash; return the fingerprints that are quarantined by it."""
        now = self.clock.now()
        crash_id = notice.crash_id
        suspects = frozenset(
            fingerprint[:FINGERPRINT_LENGTH]
            for fingerprint in notice.suspects[:MAX_SUSPECTS]
        )
        record = self.find_record(notice)
        if record is None:
            record = CrashRecord(is_weak=notice.is_weak, recorded_at=now)
            if suspects:
                self.known_crashes[crash_id] = record
            else:
                self.known_answers[crash_id] = record
            if len(self.known_crashes) > MAX_KNOWN_CRASHES:
                self.known_crashes.popitem(last=False)
            if len(self.known_answers) > MAX_KNOWN_ANSWERS:
                self.known_answers.popitem(last=False)
        added = suspects - record.suspects
        record.suspects |= suspects
        if record.is_weak:
            for fingerprint in notice.answered[:MAX_SUSPECTS]:
                if fingerprint in added or not suspects:
                    self.apply_answer(fingerprint, now)
        return [
            fingerprint
            for fingerprint in added
            if self.record_suspect(fingerprint, crash_id, record, now)
        ]

    def apply_answer(self, fingerprint: str, now: float) -> None:
        """Record that a peer saw a response, unless load explains no earlier crash."""
        self.unsent_answers.pop(fingerprint, None)
        suspect = self.containment.suspects.get(fingerprint)
        if suspect is None or self.is_weak_only(suspect.crashed_hosts):
            self.clear_suspect(fingerprint, now)

    def clear_suspect(self, fingerprint: str, now: float) -> None:
        """Record the success of a request, which is no longer suspected."""
        self.weak_suspects.pop(fingerprint, None)
        self.containment.record_success(fingerprint, now)

    def is_weak_only(self, crash_ids: Collection[str]) -> bool:
        """Return whether load may have caused all of some crashes."""
        records = [self.known_crashes.get(crash_id) for crash_id in crash_ids]
        return all(record is not None and record.is_weak for record in records)

    def record_suspect(
        self, fingerprint: str, crash_id: str, record: CrashRecord, now: float
    ) -> bool:
        """Record a request lost in a crash; return whether it is quarantined by it."""
        suspect = self.containment.suspects.get(fingerprint)
        if suspect is None:
            self.evict_weak_suspects()
            self.weak_suspects.pop(fingerprint, None)
            if record.is_weak:
                self.weak_suspects[fingerprint] = None
            return self.containment.record_loss(
                fingerprint,
                crash_id,
                n_crash_hosts=N_CRASHES_TO_QUARANTINE,
                quarantine_s=0.0,
                now=now,
            )
        self.weak_suspects.pop(fingerprint, None)
        crashed = suspect.crashed_hosts
        quarantine_s = compute_quarantine(len(crashed) + 1, is_weak=record.is_weak)
        if record.is_weak and suspect.quarantined_until > now:
            # The request was sent before the quarantine began. In a series of crashes
            # caused by load, popular requests would be refused for a day.
            quarantine_s = min(quarantine_s, suspect.quarantined_until - now)
        is_quarantined = self.containment.record_loss(
            fingerprint,
            crash_id,
            n_crash_hosts=self.count_needed_crashes(fingerprint, crashed, record),
            quarantine_s=quarantine_s,
            now=now,
        )
        if is_quarantined:
            self.quarantined_until = max(self.quarantined_until, now + quarantine_s)
        return is_quarantined

    def count_needed_crashes(
        self, fingerprint: str, crashed: set[str], record: CrashRecord
    ) -> int:
        """Return the number of crashes after which a request is refused.

        Parameters
        ----------
        fingerprint : str
            Fingerprint of the request.
        crashed : set of str
            Identifiers of its earlier crashes.
        record : CrashRecord
            Its present crash.
        """
        if len(crashed) + 1 != N_CRASHES_TO_QUARANTINE:
            # One crash never quarantines a request, and three always do.
            return N_WEAK_CRASHES_TO_QUARANTINE
        earlier = self.known_crashes.get(next(iter(crashed)))
        if not record.is_weak and (earlier is None or not earlier.is_weak):
            return N_CRASHES_TO_QUARANTINE
        if earlier is None:
            return N_WEAK_CRASHES_TO_QUARANTINE
        n_common = len(record.suspects & earlier.suspects)
        if n_common > MAX_OTHERS_IN_COMMON + 1:
            return N_WEAK_CRASHES_TO_QUARANTINE
        for other in reversed(self.known_crashes.values()):
            if record.recorded_at - other.recorded_at > RECENT_CRASH_S:
                break
            if fingerprint not in other.suspects:
                return N_WEAK_CRASHES_TO_QUARANTINE
        return N_CRASHES_TO_QUARANTINE

    def evict_weak_suspects(self) -> None:
        """Evict the oldest weak suspects if the table of suspects is full.

        Otherwise the many suspects of crashes caused by load would evict harmful
        requests. Weak suspects that have expired in that table are the oldest.
        """
        suspects = self.containment.suspects
        while self.weak_suspects and (
            len(suspects) >= self.containment.max_entries
            or len(self.weak_suspects) > len(suspects)
        ):
            fingerprint, _ = self.weak_suspects.popitem(last=False)
            suspects.pop(fingerprint, None)

    def list_recent_crashes(self) -> list[PeerCrash]:
        """Return notices of the last crashes with suspects, oldest first.

        They contain only requests that are still suspected, and of crashes that load
        may have caused only those that were counted.
        """
        suspects = self.containment.suspects
        notices: list[PeerCrash] = []
        for crash_id, record in reversed(self.known_crashes.items()):
            kept = tuple(
                key
                for key in record.suspects
                if key in suspects
                and (not record.is_weak or crash_id in suspects[key].crashed_hosts)
            )
            if kept:
                notices.append(
                    PeerCrash(crash_id=crash_id, suspects=kept, is_weak=record.is_weak)
                )
            if len(notices) == MAX_RECENT_CRASHES:
                break
        return notices[::-1]

    def count_quarantined(self) -> int:
        """Return the number of requests that are quarantined."""
        now = self.clock.now()
        if now >= self.quarantined_until:
            return 0
        return sum(
            suspect.quarantined_until > now
            for suspect in self.containment.suspects.values()
        )

    def record_success(self, method: str, target: str, body: bytes) -> None:
        """Record that an upstream responded to a request."""
        if not self.containment.suspects and len(body) > MAX_TRUSTED_BODY_SIZE:
            return
        self.record_answer(compute_short_fingerprint(method, target, body))

    def record_answer(self, fingerprint: str) -> None:
        """Record that an upstream responded to the request with a fingerprint."""
        suspect = self.containment.suspects.get(fingerprint)
        if (
            suspect is not None
            and len(suspect.crashed_hosts) + 1 >= N_WEAK_CRASHES_TO_QUARANTINE
            and len(self.unsent_answers) < MAX_SUSPECTS
            and self.is_weak_only(suspect.crashed_hosts)
        ):
            self.unsent_answers[fingerprint] = None
        self.clear_suspect(fingerprint, self.clock.now())

    def take_answers(self) -> PeerCrash | None:
        """Return a notice of the responses that clear requests at all nodes, or None.

        Only requests that another crash would quarantine are in it, and only if load
        may have caused all of their crashes. Otherwise a popular request is refused at
        the nodes that have not seen a response to it.
        """
        if not self.unsent_answers:
            return None
        answered, self.unsent_answers = tuple(self.unsent_answers), {}
        self.n_answer_notices += 1
        return PeerCrash(
            crash_id=f"{self.host_id}/{self.clock.now():.3f}/{self.n_answer_notices}",
            suspects=(),
            answered=answered,
            is_weak=True,
        )


def compute_short_fingerprint(method: str, target: str, body: bytes) -> str:
    """Return the fingerprint of a request as it is used in notices."""
    return compute_fingerprint(method=method, path=target, body=body)[
        :FINGERPRINT_LENGTH
    ]


def compute_quarantine(n_crashes: int, *, is_weak: bool) -> float:
    """Return the time for which a request is refused after some crashes, in seconds.

    Parameters
    ----------
    n_crashes : int
        Crashes in which the request was lost.
    is_weak : bool
        Whether load may have caused the last of them.
    """
    n_needed = N_WEAK_CRASHES_TO_QUARANTINE if is_weak else N_CRASHES_TO_QUARANTINE
    growth = WEAK_QUARANTINE_GROWTH if is_weak else QUARANTINE_GROWTH
    n_beyond = min(max(0, n_crashes - n_needed), MAX_QUARANTINE_STEPS)
    return min(MAX_QUARANTINE_S, QUARANTINE_S * growth**n_beyond)
