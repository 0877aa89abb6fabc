"""Readiness check of the sidecar."""

from collections.abc import Callable

from foxtailway.sidecar.http_listener import RequestHandler
from foxtailway.sidecar.http_message import ClientRequest, Response

__all__ = ["ReadinessHandler"]


class ReadinessHandler(RequestHandler):
    """Respond with 200 while the sidecar accepts new requests, with 503 otherwise.

    Parameters
    ----------
    path : str
        Path of the check; other paths get 404.
    is_ready : callable
        Returns whether the sidecar accepts new requests.
    """

    def __init__(self, *, path: str, is_ready: Callable[[], bool]) -> None:
        self.path = path
        self.is_ready = is_ready

    async def handle(self, request: ClientRequest) -> Response:
        """Return the response to a readiness check."""
        if request.target.partition("?")[0] != self.path:
            return Response(status=404)
        return Response(status=200 if self.is_ready() else 503)
