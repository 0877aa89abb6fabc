"""Promises that a soak checks, from what clients and upstreams saw."""

from collections import Counter, defaultdict, deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from benchmarks.soak.clients import LISTENING_S, Attempt
from benchmarks.soak.deployment import (
    COLD_BOUND,
    DRAIN_S,
    EVACUATE_S,
    KINDS,
    RETRY_RATIO,
    RETRY_SLACK,
    RETRY_WINDOW_S,
    list_allowed_services,
)
from benchmarks.soak.stalls import Stall

__all__ = ["Disturbance", "Evacuation", "UpstreamEvent", "Violation", "check_all"]

# Time after a fault for which the rules with a time bound do not hold, in seconds.
STABILITY_S = 4.0
# Time beyond its deadline at which a request has to be answered, in seconds.
ANSWER_SLACK_S = 0.5
# Time after the last fault until which service has to be back, in seconds.
RECOVERY_S = 15.0
# Smallest share of the requests that has to be served then, and fewest that count.
MIN_SERVED_SHARE = 0.9
MIN_REQUESTS = 20
# Step by which the windows of the retry budget are moved, in seconds.
WINDOW_STEP_S = 0.5
# Length of the window in which requests at a cold upstream are counted, in seconds.
COLD_WINDOW_S = 1.0
# Beginnings of the names of faults that can keep the news of an evacuation from a node.
HINDERING_FAULTS = ("node-", "all-nodes-", "store-", "link-")
# Fault that lets requests pile up before an upstream, which then reads them at once.
PAUSE_FAULT = "upstream-pause"


@dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamEvent:
    """Arrival or run of a request at an upstream.

    Parameters
    ----------
    event : str
        ``arrival`` or ``run``.
    at : float
        Monotonic time in seconds.
    upstream : str
        Identifier of the upstream.
    host : int
        Number of its host.
    service, id, path : str
        Its service, and identifier and path of the request.
    zone : str
        Zone of the upstream.
    is_cold : bool
        Whether the upstream was cold and did not refuse the request as that of another.
    """

    event: str
    at: float
    upstream: str
    host: int
    service: str
    id: str
    path: str
    zone: str
    is_cold: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class Evacuation:
    """Evacuation of a zone.

    Parameters
    ----------
    zone : str
        Zone.
    acknowledged_at : float
        Monotonic time at which the store has acknowledged its key, in seconds.
    ended_at : float
        Monotonic time before the removal of the key was sent, in seconds.
    """

    zone: str
    acknowledged_at: float
    ended_at: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Disturbance:
    """Fault that was played.

    Parameters
    ----------
    name : str
        Name of the fault.
    hosts : frozenset of int
        Numbers of the hosts that it touched; empty if it touched all.
    started_at, ended_at : float
        Monotonic times in seconds.
    """

    name: str
    hosts: frozenset[int]
    started_at: float
    ended_at: float

    def touches(self, host: int, since: float, until: float) -> bool:
        """Return whether a host is not stable at some time of an interval."""
        is_touched = not self.hosts or host in self.hosts
        return (
            is_touched
            and self.started_at <= until
            and since <= self.ended_at + STABILITY_S
        )


@dataclass(frozen=True, slots=True, kw_only=True)
class Violation:
    """Promise that was broken, and how."""

    rule: str
    detail: str


@dataclass(frozen=True, slots=True, kw_only=True)
class SoakRecord:
    """What was seen in a soak.

    Parameters
    ----------
    attempts : sequence of Attempt
        Attempts of the clients.
    events : sequence of UpstreamEvent
        Arrivals and runs at all upstreams.
    disturbances : sequence of Disturbance
        Faults that were played.
    leaving_at : dict of str to float
        Monotonic time at which the store has accepted that an upstream leaves, in
        seconds, by identifier.
    evacuations : sequence of Evacuation
        Evacuations that were acknowledged.
    versions : dict of str to list of int
        Versions in force that each process reported, in order.
    stalls : sequence of Stall
        Long waits of processes for a processor; no check uses them.
    exits : sequence of str
        Processes that ended by themselves.
    stopped_at : float
        Monotonic time at which the clients stopped, in seconds.
    """

    attempts: Sequence[Attempt]
    events: Sequence[UpstreamEvent]
    disturbances: Sequence[Disturbance]
    leaving_at: dict[str, float]
    evacuations: Sequence[Evacuation]
    versions: dict[str, list[int]]
    stalls: Sequence[Stall]
    exits: Sequence[str]
    stopped_at: float

    def is_calm(self, host: int, since: float, until: float) -> bool:
        """Return whether no fault touches a host in an interval."""
        return not any(item.touches(host, since, until) for item in self.disturbances)


def check_all(record: SoakRecord, *, has_time_bounds: bool) -> list[Violation]:
    """Return the promises that were broken.

    Parameters
    ----------
    record : SoakRecord
        What was seen.
    has_time_bounds : bool
        Whether promises with a time bound are checked too.
    """
    violations = [
        *check_runs(record),
        *check_responses(record.attempts),
        *check_retry_budget(record.events),
        *check_cold_upstreams(record),
        *check_processes(record),
    ]
    if has_time_bounds:
        violations += check_deadlines(record)
        violations += check_drains(record)
        violations += check_evacuations(record)
        violations += check_recovery(record)
    return violations


def check_runs(record: SoakRecord) -> Iterable[Violation]:
    """Check that nothing ran twice, after a promise, astray or without being sent."""
    runs = [event for event in record.events if event.event == "run"]
    n_runs = Counter(event.id for event in runs)
    sent = {attempt.attempt_id for attempt in record.attempts}
    for attempt in record.attempts:
        n_attempt_runs = n_runs[attempt.attempt_id]
        if attempt.kind.is_idempotent:
            continue
        if n_attempt_runs > 1:
            yield Violation(rule="twice", detail=f"{attempt.attempt_id}")
        if attempt.is_promised and n_attempt_runs:
            detail = f"{attempt.attempt_id} got {attempt.status} and ran"
            yield Violation(rule="not-run", detail=detail)
    for event in runs:
        prefix = next(
            (kind.prefix for kind in KINDS if event.path.startswith(kind.prefix)), ""
        )
        if not prefix or event.service not in list_allowed_services(prefix):
            detail = f"{event.id} {event.path} ran at {event.service}"
            yield Violation(rule="route", detail=detail)
        if event.id not in sent and event.at < record.stopped_at - LISTENING_S * 3:
            detail = f"{event.id} ran and was not sent"
            yield Violation(rule="unasked", detail=detail)


def check_responses(attempts: Iterable[Attempt]) -> Iterable[Violation]:
    """Check that each response belongs to its request and is whole."""
    for attempt in attempts:
        if attempt.fault:
            detail = f"{attempt.attempt_id}: {attempt.fault}"
            yield Violation(rule="mixed", detail=detail)


def check_retry_budget(events: Iterable[UpstreamEvent]) -> Iterable[Violation]:
    """Check the arrivals beyond the first of each request in sliding windows.

    A request that was sent and did not arrive is not counted here, which makes the
    bound stricter.
    """
    by_service: dict[str, list[UpstreamEvent]] = defaultdict(list)
    for event in events:
        if event.event == "arrival":
            by_service[event.service].append(event)
    for service, arrivals in by_service.items():
        arrivals.sort(key=lambda event: event.at)
        seen: set[str] = set()
        marked = [(event.at, is_new(event.id, seen)) for event in arrivals]
        start = marked[0][0]
        while start < marked[-1][0]:
            end = start + RETRY_WINDOW_S
            window = [is_first for at, is_first in marked if start <= at < end]
            n_first = sum(window)
            n_further = len(window) - n_first
            if n_further > RETRY_RATIO * n_first + RETRY_SLACK:
                detail = (
                    f"{service}: {n_further} beside {n_first} in {RETRY_WINDOW_S} s"
                )
                yield Violation(rule="budget", detail=detail)
                break
            start += WINDOW_STEP_S


def is_new(request_id: str, seen: set[str]) -> bool:
    """Return whether a request has not been seen, and remember it."""
    if request_id in seen:
        return False
    seen.add(request_id)
    return True


def check_processes(record: SoakRecord) -> Iterable[Violation]:
    """Check that no process ended by itself and no version went backwards."""
    for name in record.exits:
        yield Violation(rule="exit", detail=name)
    for name, versions in record.versions.items():
        if versions != sorted(versions):
            yield Violation(rule="version", detail=f"{name}: {versions}")


def check_deadlines(record: SoakRecord) -> Iterable[Violation]:
    """Check that nodes that no fault touches answer each request in time."""
    for attempt in record.attempts:
        latest = attempt.deadline + ANSWER_SLACK_S
        is_late = attempt.ended_at > latest
        if is_late and record.is_calm(attempt.host, attempt.sent_at, latest):
            detail = (
                f"{attempt.attempt_id} ended {attempt.ended_at - latest:.2f} s late"
            )
            yield Violation(rule="deadline", detail=detail)


def check_drains(record: SoakRecord) -> Iterable[Violation]:
    """Check that an upstream that has left gets no requests after the bound."""
    hosts = {attempt.attempt_id: attempt.host for attempt in record.attempts}
    for event in record.events:
        leaving_at = record.leaving_at.get(event.upstream)
        if leaving_at is None or event.event != "run":
            continue
        delay_s = event.at - leaving_at
        entry = hosts.get(event.id)
        if delay_s <= DRAIN_S or entry is None:
            continue
        if all(
            record.is_calm(host, leaving_at, event.at) for host in (entry, event.host)
        ):
            detail = f"{event.id} ran at {event.upstream} after {delay_s:.2f} s"
            yield Violation(rule="drain", detail=detail)


def check_evacuations(record: SoakRecord) -> Iterable[Violation]:
    """Check that no request reaches an evacuated zone after the bound.

    A fault of the sidecars concerned, of their links or of the store delays the bound
    only if it begins before the bound has passed.
    """
    entries = {attempt.attempt_id: attempt.host for attempt in record.attempts}
    for evacuation in record.evacuations:
        for event in record.events:
            is_late = (
                evacuation.acknowledged_at + EVACUATE_S < event.at < evacuation.ended_at
            )
            if event.zone != evacuation.zone or not is_late:
                continue
            hosts = {event.host, entries.get(event.id, event.host)}
            if event.at > compute_evacuation_bound(record, evacuation, hosts):
                delay_s = event.at - evacuation.acknowledged_at
                detail = (
                    f"{event.id} {event.event} at {event.upstream}, {delay_s:.2f} s"
                )
                yield Violation(rule="evacuation", detail=detail)


def compute_evacuation_bound(
    record: SoakRecord, evacuation: Evacuation, hosts: set[int]
) -> float:
    """Return the time from which an evacuation has to be in force on some hosts."""
    bound = evacuation.acknowledged_at + EVACUATE_S
    for item in sorted(record.disturbances, key=lambda item: item.started_at):
        if (
            item.name.startswith(HINDERING_FAULTS)
            and (not item.hosts or item.hosts & hosts)
            and item.started_at <= bound
            and item.ended_at + STABILITY_S >= evacuation.acknowledged_at
        ):
            bound = max(bound, item.ended_at + EVACUATE_S)
    return bound


def check_cold_upstreams(record: SoakRecord) -> Iterable[Violation]:
    """Check the requests that cold upstreams got in each sliding window."""
    windows: dict[str, deque[float]] = defaultdict(deque)
    exceeded: set[str] = set()
    for event in sorted(record.events, key=lambda event: event.at):
        if event.event != "arrival" or not event.is_cold:
            continue
        window = windows[event.upstream]
        window.append(event.at)
        while window[0] <= event.at - COLD_WINDOW_S:
            window.popleft()
        if len(window) <= COLD_BOUND or event.upstream in exceeded:
            continue
        if any(
            item.name == PAUSE_FAULT and item.touches(event.host, window[0], event.at)
            for item in record.disturbances
        ):
            continue
        exceeded.add(event.upstream)
        detail = f"{event.upstream}: {len(window)} requests in {COLD_WINDOW_S} s"
        yield Violation(rule="cold", detail=detail)


def check_recovery(record: SoakRecord) -> Iterable[Violation]:
    """Check that most requests are served some time after the last fault."""
    last = max((item.ended_at for item in record.disturbances), default=0.0)
    late = [
        attempt for attempt in record.attempts if attempt.sent_at > last + RECOVERY_S
    ]
    n_served = sum(attempt.is_served for attempt in late)
    if len(late) >= MIN_REQUESTS and n_served < MIN_SERVED_SHARE * len(late):
        yield Violation(rule="recovery", detail=f"{n_served} of {len(late)} served")
