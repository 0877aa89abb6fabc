"""Requests whose way has been decided."""

from dataclasses import dataclass

from foxtailway.sidecar.http_message import ClientRequest
from foxtailway.traffic.configuration import TrafficRoute

__all__ = ["RoutedRequest"]


@dataclass(frozen=True, slots=True, kw_only=True)
class RoutedRequest:
    """Hold a request, its route and its deadlines.

    Parameters
    ----------
    request : ClientRequest
        Request of the client.
    route : TrafficRoute
        Route that it takes.
    service : str
        Service that runs it.
    due_at, deadline : float
        Loop times at which an answer is late and at which the client or the
        route gives up, in seconds.
    """

    request: ClientRequest
    route: TrafficRoute
    service: str
    due_at: float
    deadline: float
