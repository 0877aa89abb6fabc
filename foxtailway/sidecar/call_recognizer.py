"""Recognition of calls that the upstream on this host makes for running requests."""

from foxtailway.sidecar.call import UpstreamCall
from foxtailway.sidecar.http_message import ClientRequest
from foxtailway.sidecar.running_calls import RunningCalls
from foxtailway.traffic.call_outcomes import CallOutcomes
from foxtailway.traffic.call_routes import CallRoutes

__all__ = ["CallRecognizer"]


class CallRecognizer:
    """Find the running request for which the upstream sends a request.

    Parameters
    ----------
    running : RunningCalls
        Requests that run at the upstream on this host.
    outcomes : CallOutcomes
        Outcomes of the calls, by which the requests that make them are admitted.

    Attributes
    ----------
    routes : CallRoutes
        Knows which routes are those of calls.
    n_calls : int
        Requests that were recognized as calls.
    n_failed_calls : int
        Calls that were refused or failed.
    """

    def __init__(self, *, running: RunningCalls, outcomes: CallOutcomes) -> None:
        self.running = running
        self.outcomes = outcomes
        self.routes = CallRoutes()
        self.n_calls = 0
        self.n_failed_calls = 0

    def find_parent(
        self, request: ClientRequest, route: str, deadline: float
    ) -> UpstreamCall | None:
        """Return the running request that waits for a request, or None.

        Parameters
        ----------
        request : ClientRequest
            Request that may be a call.
        route : str
            Name of its route.
        deadline : float
            Monotonic time at which its sender stops waiting, in seconds.
        """
        if not request.is_from_host or request.remaining_ms is None:
            return None
        running = list(self.running.calls.values())
        position = self.routes.find_parent(
            route,
            remaining_ms=request.remaining_ms,
            deadline=deadline,
            parents=[
                (parent_deadline, call.route) for parent_deadline, call in running
            ],
        )
        if position is None:
            return None
        self.n_calls += 1
        return running[position][1]

    def record_failure(self, parent: UpstreamCall, now: float) -> None:
        """Count a call of a running request that was refused or failed.

        Parameters
        ----------
        parent : UpstreamCall
            Request that made the call.
        now : float
            Monotonic time, in seconds.
        """
        self.n_failed_calls += 1
        self.outcomes.record_failed_call(parent.route, now)
