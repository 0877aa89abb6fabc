"""Requests for which a route was found."""

from dataclasses import dataclass

from foxtailway.sidecar.call import UpstreamCall
from foxtailway.sidecar.http_message import ClientRequest
from foxtailway.traffic.configuration import TrafficRoute

__all__ = ["RoutedRequest"]


@dataclass(frozen=True, slots=True, kw_only=True)
class RoutedRequest:
    """Request of a client with its route and its deadlines.

    Parameters
    ----------
    request : ClientRequest
        Request of the client.
    route : TrafficRoute
        Route that matches the request.
    service : str
        Service that the route or its traffic split selects.
    due_at, deadline : float
        Monotonic times in seconds: after `due_at` a response is late; at
        `deadline` the timeout of the client or of the route expires.
    client_deadline : float or None, default=None
        Monotonic time at which the client stops waiting, in seconds; None if the
        client did not tell.
    parent : UpstreamCall or None, default=None
        Request that runs at the upstream on this host and waits for the response; None
        for a request that is not a call.
    """

    request: ClientRequest
    route: TrafficRoute
    service: str
    due_at: float
    deadline: float
    client_deadline: float | None = None
    parent: UpstreamCall | None = None

    @property
    def priority(self) -> int:
        """Priority, which a call inherits; 0 is the highest."""
        return self.route.priority if self.parent is None else self.parent.priority
