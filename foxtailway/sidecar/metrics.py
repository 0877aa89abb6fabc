"""Counters and latency histograms of a sidecar."""

from bisect import bisect_left
from collections import Counter as Tally
from collections.abc import Callable

from foxtailway.sidecar.http_listener import RequestHandler
from foxtailway.sidecar.http_message import ClientRequest, Response

__all__ = ["MetricsHandler", "SidecarMetrics"]

# Upper bounds of the latency buckets.
LATENCY_BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5)
METRIC_PREFIX = "foxtailway_sidecar_"


class LatencyHistogram:
    """Histogram of latencies over `LATENCY_BUCKETS_S`."""

    def __init__(self) -> None:
        self.counts = [0] * (len(LATENCY_BUCKETS_S) + 1)
        self.sum_s = 0.0

    def observe(self, latency_s: float) -> None:
        """Add one latency in seconds."""
        self.counts[bisect_left(LATENCY_BUCKETS_S, latency_s)] += 1
        self.sum_s += latency_s


class SidecarMetrics:
    """Counters and histograms of one sidecar.

    Parameters
    ----------
    read_gauges : callable
        Returns the current values of the gauges by name.
    zone_requests : Counter or None, default=None
        Requests sent, by service, zone, path and reason; None for none.

    Notes
    -----
    Labels are services, statuses and reasons, so the number of time series is
    bounded by the configuration. The library that renders the metrics is
    imported on the first scrape, since it costs memory in every process.
    """

    def __init__(
        self,
        *,
        read_gauges: Callable[[], dict[str, float]],
        zone_requests: Tally[tuple[str, str, str, str]] | None = None,
    ) -> None:
        self.read_gauges = read_gauges
        self.zone_requests = Tally() if zone_requests is None else zone_requests
        self.responses: Tally[tuple[str, int]] = Tally()
        self.refusals: Tally[tuple[str, str]] = Tally()
        self.further_attempts: Tally[str] = Tally()
        self.latencies: dict[str, LatencyHistogram] = {}

    def count_response(self, service: str, status: int, latency_s: float) -> None:
        """Count a final response to a client and its latency in seconds."""
        self.responses[service, status] += 1
        histogram = self.latencies.get(service)
        if histogram is None:
            histogram = self.latencies.setdefault(service, LatencyHistogram())
        histogram.observe(latency_s)

    def count_refusal(self, service: str, reason: str) -> None:
        """Count a refusal by service and reason."""
        self.refusals[service, reason] += 1

    def count_further_attempt(self, service: str) -> None:
        """Count a further attempt: a retry or a hedged attempt."""
        self.further_attempts[service] += 1

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        from aioprometheus import Counter, Gauge, Registry, render
        from aioprometheus.formats.text import TEXT_CONTENT_TYPE

        registry = Registry()

        def make_metric(kind: type, name: str, help_text: str) -> Counter | Gauge:
            return kind(METRIC_PREFIX + name, help_text, registry=registry)

        responses = make_metric(Counter, "answers_total", "Final answers by status.")
        for (service, status), count in self.responses.items():
            responses.set({"service": service, "status": str(status)}, count)
        refusals = make_metric(Counter, "refusals_total", "Refusals by reason.")
        for (service, reason), count in self.refusals.items():
            refusals.set({"service": service, "reason": reason}, count)
        further_attempts = make_metric(
            Counter, "repeats_total", "Requests sent once more."
        )
        for service, count in self.further_attempts.items():
            further_attempts.set({"service": service}, count)
        sent = make_metric(Counter, "zone_requests_total", "Requests sent to a zone.")
        for (service, zone, path, reason), count in self.zone_requests.items():
            labels = {"service": service, "zone": zone, "path": path, "reason": reason}
            sent.set(labels, count)
        buckets = make_metric(
            Counter, "latency_seconds_bucket", "Answers up to a latency."
        )
        sums = make_metric(Counter, "latency_seconds_sum", "Sum of latencies.")
        for service, histogram in self.latencies.items():
            for bound, count in accumulate_buckets(histogram):
                buckets.set({"service": service, "le": bound}, count)
            sums.set({"service": service}, histogram.sum_s)
        for name, value in self.read_gauges().items():
            make_metric(Gauge, name, "Present value.").set({}, value)
        return render(registry, [TEXT_CONTENT_TYPE])[0]


def accumulate_buckets(histogram: LatencyHistogram) -> list[tuple[str, int]]:
    """Return each bucket's upper bound and its cumulative count."""
    total = 0
    bounds = [*(str(bound) for bound in LATENCY_BUCKETS_S), "+Inf"]
    accumulated = []
    for bound, count in zip(bounds, histogram.counts, strict=True):
        total += count
        accumulated.append((bound, total))
    return accumulated


class MetricsHandler(RequestHandler):
    """Serve the metrics over HTTP.

    Parameters
    ----------
    metrics : SidecarMetrics
        Metrics to serve.
    """

    path = "/metrics"

    def __init__(self, *, metrics: SidecarMetrics) -> None:
        self.metrics = metrics

    async def handle(self, request: ClientRequest) -> Response:
        """Return the response to a scrape; other paths get 404."""
        if request.target.partition("?")[0] != self.path:
            return Response(status=404)
        head = b"Content-Type: text/plain; version=0.0.4\r\n"
        return Response(status=200, head=head, body=self.metrics.render())
