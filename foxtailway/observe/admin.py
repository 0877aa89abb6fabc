"""HTTP server of the admin port."""

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from foxtailway.observe.audit import AuditTrail
from foxtailway.observe.document import encode_json
from foxtailway.observe.metrics import NodeMetrics
from foxtailway.observe.status import NodeStatus, StatusProvider

__all__ = ["AdminServer"]

MAX_BODY_BYTES = 1_024
MAX_HEADER_BYTES = 16_384
IDLE_TIMEOUT_S = 60.0


class AdminServer:
    """Serve status, audit trail, metrics and probes.

    ``/ready`` answers 200 while the node takes calls and 503 otherwise;
    ``/live`` answers 200 as long as the node's loop runs.

    Parameters
    ----------
    address : str
        IP address to listen on.
    port : int
        TCP port; 0 takes a free one.
    provider : StatusProvider
        Source of the node's state.
    trail : AuditTrail
        Audit trail of the node.
    metrics : NodeMetrics
        Metrics of the node.

    Attributes
    ----------
    port : int
        TCP port in use.
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
        """Return the application of the admin port."""
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
        """Start to accept connections."""
        self.server.add_sockets(self.sockets)

    async def stop(self) -> None:
        """Close the port and all connections."""
        self.server.stop()
        await self.server.close_all_connections()


def discard_request_log(handler: RequestHandler) -> None:
    """Log nothing for an answered request."""


class AdminHandler(RequestHandler):
    """Share the server's parts between the handlers."""

    def initialize(self, *, admin: AdminServer) -> None:
        """Keep the server."""
        self.admin = admin

    def read_status(self) -> NodeStatus:
        """Return the state of the node."""
        return self.admin.provider.read_status()

    def finish_json(self, value: object) -> None:
        """Finish with a JSON body."""
        self.set_header("Content-Type", "application/json")
        self.finish(encode_json(value) + b"\n")

    def write_error(self, status_code: int, **kwargs: object) -> None:
        """Finish with the status as JSON."""
        self.finish_json({"status": status_code, "error": self._reason})


class StatusHandler(AdminHandler):
    """Serve the state of the node."""

    def get(self) -> None:
        """Answer ``GET /status``."""
        self.finish_json(self.read_status())


class AuditHandler(AdminHandler):
    """Serve the audit trail."""

    def get(self) -> None:
        """Answer ``GET /audit?since=SEQUENCE``."""
        text = self.get_query_argument("since", "0")
        if not (text.isascii() and text.isdigit()):
            self.send_error(400, reason="since is not a sequence number")
            return
        trail = self.admin.trail
        entries = trail.list_since(int(text))
        self.finish_json({"n_recorded": trail.n_recorded, "entries": entries})


class MetricsHandler(AdminHandler):
    """Serve the metrics."""

    def get(self) -> None:
        """Answer ``GET /metrics``."""
        metrics = self.admin.metrics
        metrics.update(self.read_status())
        content, headers = metrics.render(self.request.headers.get("Accept", ""))
        for name, value in headers.items():
            self.set_header(name, value)
        self.finish(content)


class ReadyHandler(AdminHandler):
    """Tell whether the node takes calls."""

    def get(self) -> None:
        """Answer ``GET /ready``."""
        status = self.read_status()
        is_ready = status.is_ready and not status.is_stopping
        self.set_status(200 if is_ready else 503)
        self.finish_json({"ready": is_ready, "stopping": status.is_stopping})


class LiveHandler(AdminHandler):
    """Tell that the node's loop runs."""

    def get(self) -> None:
        """Answer ``GET /live``."""
        self.finish_json({"live": True})


class UnknownHandler(AdminHandler):
    """Answer requests for unknown paths."""

    def prepare(self) -> None:
        """Answer 404."""
        self.send_error(404)
