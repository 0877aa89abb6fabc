"""Readiness check of the sidecar."""

from collections.abc import Callable

from foxtailway.sidecar.http_listener import RequestHandler
from foxtailway.sidecar.http_message import ClientRequest, Response

__all__ = ["ReadinessHandler"]


class ReadinessHandler(RequestHandler):
    """Answer 200 while the sidecar takes new work and 503 otherwise.

    Parameters
    ----------
    path : str
        Path of the check.
    is_ready : callable
        Whether the sidecar takes new work.
    """

    def __init__(self, *, path: str, is_ready: Callable[[], bool]) -> None:
        self.path = path
        self.is_ready = is_ready

    async def handle(self, request: ClientRequest) -> Response:
        """Answer a check."""
        if request.target.partition("?")[0] != self.path:
            return Response(status=404)
        return Response(status=200 if self.is_ready() else 503)
