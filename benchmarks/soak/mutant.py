"""Nodes with one mechanism switched off, by which the checks are seen failing.

``python -m benchmarks.soak.mutant NAME --settings FILE ...`` runs the node.
"""

import sys
from collections.abc import Callable

# The entry point leaves TLS out of the process, so it is imported first.
from foxtailway.platform.__main__ import main as run_node
from foxtailway.routing.outcome import Outcome
from foxtailway.sidecar import dispatcher
from foxtailway.sidecar.call import CallRefusal
from foxtailway.sidecar.http_connection import HttpConnection
from foxtailway.sidecar.request_attempts import RequestAttempts
from foxtailway.sidecar.request_pipeline import RequestPipeline
from foxtailway.sidecar.update_exchange import UpdateExchange
from foxtailway.sidecar.upstream_runner import UpstreamRunner
from foxtailway.traffic.cold_start import ColdStartLimiter
from foxtailway.traffic.configuration import TrafficConfiguration
from foxtailway.traffic.membership import Membership
from foxtailway.traffic.retry_budget import RetryBudget

__all__ = ["MUTANTS", "main"]


def repeat_everything() -> None:
    """Send requests again that may have run; the check of runs fails."""

    def is_final(attempts: RequestAttempts, result: object) -> bool:
        return not isinstance(result, CallRefusal)

    RequestAttempts.is_final = is_final
    RequestAttempts.try_acquire_attempt = lambda *_arguments: True


def promise_everything() -> None:
    """Call each lost request not run; the check of promises fails."""
    dispatcher.choose_status = lambda refusal: (
        503 if refusal.outcome is Outcome.UNKNOWN else 502
    )


def accept_any_response() -> None:
    """Take any response as that of the request in progress."""
    HttpConnection.is_own_response = lambda *_arguments: True


def ignore_the_budget() -> None:
    """Allow each retry and as many attempts as there are upstreams."""
    RetryBudget.try_acquire = lambda *_arguments: True
    RequestAttempts.try_acquire_attempt = lambda *_arguments: True


def ignore_leaving() -> None:
    """Send requests to upstreams that leave."""
    Membership.is_leaving = lambda *_arguments: False
    Membership.remove = lambda *_arguments: None

    def list_ready(membership: Membership, service: str) -> tuple:
        return tuple(
            upstream
            for upstream in membership.upstreams.values()
            if upstream.service == service
        )

    Membership.list_ready = list_ready


def forget_the_slots() -> None:
    """Never release a slot, so that service does not recover."""
    UpstreamRunner.release_slot = lambda _runner: None


def apply_any_version() -> None:
    """Apply an older version again after each second one."""
    apply_configuration = UpdateExchange.apply_configuration

    def apply(exchange: UpdateExchange, configuration: TrafficConfiguration) -> None:
        apply_configuration(exchange, configuration)
        if configuration.version % 2:
            exchange.apply(next(iter(exchange.recent.values())))

    UpdateExchange.apply_configuration = apply


def ignore_evacuations() -> None:
    """Never learn of an evacuation."""
    Membership.update_evacuations = lambda *_arguments: None


def ignore_cold_starts() -> None:
    """Send cold upstreams as much as warm ones."""
    ColdStartLimiter.is_cold = lambda *_arguments: False
    ColdStartLimiter.is_starting = lambda *_arguments: False


def reverse_responses() -> None:
    """Write the responses of a pipeline that wait for an earlier one in reverse."""
    write_responses = RequestPipeline.write_responses

    def write(pipeline: RequestPipeline) -> None:
        items = list(pipeline.requests)
        ready = [item for item in items if item.response is not None]
        running = [item for item in items if item.response is None]
        pipeline.requests.clear()
        pipeline.requests.extend([*reversed(ready), *running])
        write_responses(pipeline)

    RequestPipeline.write_responses = write


MUTANTS: dict[str, Callable[[], None]] = {
    "twice": repeat_everything,
    "not-run": promise_everything,
    "mixed": accept_any_response,
    "budget": ignore_the_budget,
    "drain": ignore_leaving,
    "recovery": forget_the_slots,
    "version": apply_any_version,
    "evacuation": ignore_evacuations,
    "order": reverse_responses,
    "cold": ignore_cold_starts,
}


def main() -> int:
    """Switch off the mechanism that the first argument names and run the node."""
    MUTANTS[sys.argv.pop(1)]()
    return run_node()


if __name__ == "__main__":
    sys.exit(main())
