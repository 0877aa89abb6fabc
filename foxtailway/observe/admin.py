"""HTTP server of the admin port."""

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from foxtailway.observe.audit import AuditTrail
from foxtailway.observe.document import encode_json
from foxtailway.observe.metrics import NodeMetrics
from foxtailway.observe.status import NodeStatus, StatusProvider

__all__ = ["AdminServer"]

# The admin port accepts only GET requests, which need no body.
MAX_BODY_BYTES = 1_024
MAX_HEADER_BYTES = 16_384
IDLE_TIMEOUT_S = 60.0


class AdminServer:
    """HTTP server of status, audit trail, metrics and health probes.

    ``/ready`` returns 200 while the node accepts calls and 503 otherwise.
    ``/live`` returns 200 as long as the event loop of the node runs.

    Parameters
    ----------
    address : str
        IP address to listen on.
    port : int
        TCP port; 0 selects a free one.
    provider : StatusProvider
        Source of the current status of the node.
    trail : AuditTrail
        Audit trail of the node.
    metrics : NodeMetrics
        Metrics of the node.

    Attributes
    ----------
    port : int
        TCP port in use.

    Raises
    ------
    OSError
        When the port cannot be bound.
    """

    def __init__(
        self,
        *,
        address: str,
        port: int,
        provider: StatusProvider,
        trail: AuditTrail,
        metrics: NodeMetrics,
    ) -> None:
        self.provider = provider
        self.trail = trail
        self.metrics = metrics
        self.sockets = bind_sockets(port, address)
        self.port = self.sockets[0].getsockname()[1]
        self.server = HTTPServer(
            self.make_application(),
            max_body_size=MAX_BODY_BYTES,
            max_header_size=MAX_HEADER_BYTES,
            idle_connection_timeout=IDLE_TIMEOUT_S,
        )

    def make_application(self) -> Application:
        """Return the Tornado application with all routes."""
        arguments = {"admin": self}
        return Application(
            [
                (r"/status", StatusHandler, arguments),
                (r"/audit", AuditHandler, arguments),
                (r"/metrics", MetricsHandler, arguments),
                (r"/ready", ReadyHandler, arguments),
                (r"/live", LiveHandler, arguments),
            ],
            default_handler_class=UnknownHandler,
            default_handler_args=arguments,
            compress_response=True,
            log_function=discard_request_log,
        )

    def start(self) -> None:
        """Start accepting connections."""
        self.server.add_sockets(self.sockets)

    async def stop(self) -> None:
        """Close the port and all connections."""
        self.server.stop()
        await self.server.close_all_connections()


def discard_request_log(handler: RequestHandler) -> None:
    """Discard the access log entry of a request."""


class AdminHandler(RequestHandler):
    """Base class of the handlers, with access to the server."""

    def initialize(self, *, admin: AdminServer) -> None:
        """Store the server; called by Tornado for each request."""
        self.admin = admin

    def read_status(self) -> NodeStatus:
        """Return the current status of the node."""
        return self.admin.provider.read_status()

    def finish_json(self, value: object) -> None:
        """Send a value as the JSON body and finish the response."""
        self.set_header("Content-Type", "application/json")
        self.finish(encode_json(value) + b"\n")

    def write_error(self, status_code: int, **kwargs: object) -> None:
        """Send the status code and reason as JSON; called by Tornado."""
        self.finish_json({"status": status_code, "error": self._reason})


class StatusHandler(AdminHandler):
    """Handler of the node status."""

    def get(self) -> None:
        """Handle ``GET /status``."""
        self.finish_json(self.read_status())


class AuditHandler(AdminHandler):
    """Handler of the audit trail."""

    def get(self) -> None:
        """Handle ``GET /audit?since=SEQUENCE``.

        Returns the entries with a greater sequence number; 400 if `since` is
        malformed.
        """
        text = self.get_query_argument("since", "0")
        if not (text.isascii() and text.isdigit()):
            self.send_error(400, reason="since is not a sequence number")
            return
        trail = self.admin.trail
        entries = trail.list_since(int(text))
        self.finish_json({"n_recorded": trail.n_recorded, "entries": entries})


class MetricsHandler(AdminHandler):
    """Handler of the metrics."""

    def get(self) -> None:
        """Handle ``GET /metrics`` in the format selected by ``Accept``."""
        metrics = self.admin.metrics
        metrics.update(self.read_status())
        content, headers = metrics.render(self.request.headers.get("Accept", ""))
        for name, value in headers.items():
            self.set_header(name, value)
        self.finish(content)


class ReadyHandler(AdminHandler):
    """Handler of the readiness probe."""

    def get(self) -> None:
        """Handle ``GET /ready``."""
        status = self.read_status()
        is_ready = status.is_ready and not status.is_stopping
        self.set_status(200 if is_ready else 503)
        self.finish_json({"ready": is_ready, "stopping": status.is_stopping})


class LiveHandler(AdminHandler):
    """Handler of the liveness probe."""

    def get(self) -> None:
        """Handle ``GET /live``."""
        self.finish_json({"live": True})


class UnknownHandler(AdminHandler):
    """Handler of requests for unknown paths."""

    def prepare(self) -> None:
        """Respond with 404 to any method."""
        self.send_error(404)
