"""Cause of a request's failure, told in one sentence."""

from collections import Counter
from collections.abc import Iterable, Sequence

from foxtailway.explain.sidecar_log import LogEvent

__all__ = ["count_causes", "find_cause"]

NO_EVENT = "no log line names this request: it succeeded, or its lines were dropped"
REASON_TEXTS = {
    "draining": "the host or its upstream was leaving",
    "expired": "its time was over",
    "malformed": "the request could not be read",
    "no-endpoint": "no upstream of the service could be reached",
    "no-route": "no route of configuration version {version} matches {where}",
    "not-ready": "no configuration or no upstream was at hand",
    "overloaded": "every upstream that was asked had no time for it",
    "quarantined": "equal requests had crashed upstreams",
    "lost": "the upstream broke off before its answer was whole",
}


def find_cause(events: Sequence[LogEvent]) -> str:
    """Return the cause of a request's failure.

    Parameters
    ----------
    events : sequence of LogEvent
        Events of the request, in order of time.
    """
    if not events:
        return NO_EVENT
    last = next(
        (event for event in reversed(events) if event.event == "refused"), events[-1]
    )
    if last.event == "upstream_failed":
        status = last.fields.get("status")
        run_time_s = last.fields.get("run_time_s")
        return f"the upstream itself answered {status} after {run_time_s} s"
    return describe_refusal(last, events)


def describe_refusal(refusal: LogEvent, events: Sequence[LogEvent]) -> str:
    """Return why a request was refused, and what its offers brought."""
    fields = refusal.fields
    reason = str(fields.get("reason", refusal.event))
    where = f"{fields.get('host_header', '')}{fields.get('target', '')}"
    text = REASON_TEXTS.get(reason, reason).format(
        version=fields.get("version"), where=where
    )
    offers = [event for event in events if event.event == "not_answered"]
    asked = ", ".join(describe_offer(offer) for offer in offers)
    answer = f"answered {fields.get('status')} at {refusal.host}: {text}"
    if fields.get("outcome") == "unknown":
        answer += "; whether it ran is unknown"
    return f"{answer}; asked {asked}" if asked else answer


def describe_offer(offer: LogEvent) -> str:
    """Return what was known of an upstream that brought no answer."""
    fields = offer.fields
    text = f"{fields.get('upstream')} ({fields.get('reason')}"
    if fields.get("n_busy") is not None:
        text += (
            f", {fields['n_busy']} busy of {fields.get('n_slots')} slots"
            f" {fields.get('report_age_s')} s before"
        )
    return text + ")"


def count_causes(events: Iterable[LogEvent]) -> Counter[tuple[str, str, str]]:
    """Count final failures by service, status and reason."""
    causes: Counter[tuple[str, str, str]] = Counter()
    for event in events:
        if event.event in ("refused", "upstream_failed"):
            fields = event.fields
            reason = str(fields.get("reason", "upstream"))
            service = str(fields.get("service", ""))
            causes[service, str(fields.get("status", "")), reason] += 1
    return causes
