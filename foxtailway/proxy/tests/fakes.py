"""Fakes of the interfaces of the package, and builders for its tests."""

import asyncio
from dataclasses import replace
from random import Random

from expression import Error, Ok

from foxtailway.common.clock import Clock, ManualClock
from foxtailway.common.failure import Failure, FailureKind, Step
from foxtailway.distribution.tests.support import make_settings
from foxtailway.model.host import Host
from foxtailway.model.snapshot import Listener, Snapshot
from foxtailway.model.version import Version
from foxtailway.proxy.channel import CallChannel, CallTransport
from foxtailway.proxy.ingress import InboundCall
from foxtailway.proxy.limiter import ConcurrencyLimiter
from foxtailway.proxy.message import CallRequest, CallResponse, Header
from foxtailway.proxy.observer import CallObserver
from foxtailway.proxy.routing_state import RoutingState
from foxtailway.proxy.runner import RequestRunner
from foxtailway.proxy.upstream import CancelToken, UpstreamClient
from foxtailway.routing.admission import AdmissionQueue
from foxtailway.routing.deadline import PauseDetector
from foxtailway.routing.limit import FixedLimit
from foxtailway.routing.tests.builders import make_cluster, make_host, make_route
from foxtailway.settings.model import NodeSettings
from foxtailway.transport.stream import Dialer, MessageStream

LOCAL_HOST_ID = "accra-a-1"


def make_node_settings(**calls: object) -> NodeSettings:
    settings = make_settings(LOCAL_HOST_ID)
    return replace(settings, calls=replace(settings.calls, **calls))


def make_call_request(**changes: object) -> CallRequest:
    values = dict(
        call_id=1,
        route="route",
        cluster="slots",
        method="GET",
        target="/slots",
        headers=(),
        body=b"",
        remaining_s=5.0,
        n_hops=1,
        caller="client",
        priority=0,
        is_idempotent=True,
        idempotency_key="",
        is_key_generated=True,
        window_s=60.0,
        fingerprint="print",
    )
    return CallRequest(**(values | changes))


def make_response(**changes: object) -> CallResponse:
    values = dict(call_id=1, status=200, headers=(), body=b"ok")
    return CallResponse(**(values | changes))


def make_inbound_call(**changes: object) -> InboundCall:
    values = dict(
        method="GET",
        path="/slots",
        target="/slots",
        headers=(Header(name="Accept", value="*/*"),),
        header_size=20,
        body=b"",
        caller="client",
        n_hops=0,
        remaining_s=None,
        idempotency_key="",
        is_local=False,
    )
    return InboundCall(**(values | changes))


def make_snapshot(
    *, hosts: tuple[Host, ...] = (), is_idempotent: bool = True
) -> Snapshot:
    hosts = hosts or (make_host(LOCAL_HOST_ID),)
    route = make_route("/slots", "GET", "POST")
    return Snapshot(
        version=Version(generation=1, revision=1, digest=b"c"),
        hosts_version=Version(generation=1, revision=1, digest=b"h"),
        site="accra-a",
        listener=Listener(max_header_size=1000, max_body_size=1000, max_hops=4),
        routes=(replace(route, is_idempotent=is_idempotent),),
        clusters={"slots": make_cluster()},
        endpoints={"slots": hosts},
        hosts={host.host_id: host for host in hosts},
        secrets={},
        withdrawn_routes=(),
        zone_regions={"accra-a": "accra"},
    )


async def run_ready(n_rounds: int = 20) -> None:
    """Run the event loop until the tasks that are ready have run."""
    for _ in range(n_rounds):
        await asyncio.sleep(0)


class FakeStream(MessageStream):
    """Record sent messages and receive those that a test feeds."""

    def __init__(self) -> None:
        self.peer = "127.0.0.2:7000"
        self.n_bytes_sent = 0
        self.n_bytes_received = 0
        self.sent: list[object] = []
        self.received: asyncio.Queue = asyncio.Queue()
        self.writable = asyncio.Event()
        self.writable.set()
        self.send_failure: Failure | None = None
        self.next_failure: Failure | None = None
        self.is_closed = False

    async def send(self, message: object):
        if self.next_failure is not None:
            failure, self.next_failure = self.next_failure, None
            return Error(failure)
        if self.send_failure is not None:
            return Error(self.send_failure)
        self.sent.append(message)
        await self.writable.wait()
        return Ok(None)

    async def receive(self):
        return await self.received.get()

    def feed(self, *messages: object) -> None:
        for message in messages:
            self.received.put_nowait(Ok(message))

    def make_failure(self, kind: FailureKind) -> Failure:
        return Failure(step=Step.SEND, kind=kind, peer=self.peer, detail="")

    def fail_next(self, kind: FailureKind) -> None:
        self.next_failure = self.make_failure(kind)

    def end(self) -> None:
        self.received.put_nowait(Error(self.make_failure(FailureKind.CLOSED)))

    def close(self) -> None:
        if not self.is_closed:
            self.is_closed = True
            self.end()

    def list_sent(self, kind: type) -> list:
        return [message for message in self.sent if isinstance(message, kind)]


class FakeDialer(Dialer):
    """Return prepared streams in turn; never connect when none is left."""

    def __init__(self, *streams: FakeStream) -> None:
        self.streams = list(streams)

    async def dial(self, *, address: str, port: int, timeout_s: float):
        if not self.streams:
            await asyncio.Event().wait()
        return Ok(self.streams.pop(0))


class FakeClient(UpstreamClient):
    """Record requests and return `result` once `released` is set."""

    def __init__(self) -> None:
        self.requests: list[CallRequest] = []
        self.cancel_tokens: list[CancelToken] = []
        self.released = asyncio.Event()
        self.result = Ok(make_response())

    async def run(self, request, *, timeout_s, credential, token):
        self.requests.append(request)
        self.cancel_tokens.append(token)
        await self.released.wait()
        return self.result

    def close(self) -> None:
        """Do nothing."""


class FakeTransport(CallTransport):
    """Return prepared results in turn, then successful responses."""

    def __init__(self, *results: object) -> None:
        self.results = list(results)
        self.requests: list[CallRequest] = []

    async def call(self, request: CallRequest):
        self.requests.append(request)
        return self.results.pop(0) if self.results else Ok(make_response())

    async def query_key(self, *, key: str, window_s: float) -> bool:
        return False


class RecordingObserver(CallObserver):
    """Record the events that the tests check."""

    def __init__(self) -> None:
        self.n_dropped_replies = 0
        self.failures: list[Failure] = []
        self.draining: list[str] = []
        self.finished: list[object] = []

    def peer_started_draining(self, host_id):
        self.draining.append(host_id)

    def stream_failed(self, failure):
        self.failures.append(failure)

    def reply_dropped(self, host_id):
        self.n_dropped_replies += 1

    def call_finished(self, result, *, latency_s):
        self.finished.append(result)

    def call_retried(self, cluster):
        """Ignore."""

    def request_served(self, result, *, latency_s):
        """Ignore."""

    def peer_refused(self, failure):
        self.failures.append(failure)

    def request_quarantined(self, route, request_fingerprint):
        """Ignore."""


class UnusedPool:
    """Fail a test that opens an unexpected channel to another host."""

    async def get_channel(self, host):
        raise AssertionError(f"unexpected call to {host.host_id}")


def make_state(clock: Clock, snapshot: Snapshot | None) -> RoutingState:
    state = RoutingState(zone="accra-a", clock=clock, random_source=Random(1))
    if snapshot is not None:
        state.apply(snapshot)
    return state


def make_runner(
    *,
    clock: ManualClock,
    client: UpstreamClient,
    n_slots: int = 1,
    queue_timeout_s: float = 1000.0,
    pool: object = None,
) -> RequestRunner:
    queue = AdmissionQueue(
        host_id=LOCAL_HOST_ID,
        limit_policy=FixedLimit(n_slots=n_slots),
        n_queued=10,
        queue_timeout_s=queue_timeout_s,
    )
    return RequestRunner(
        settings=make_node_settings(),
        clock=clock,
        state=make_state(clock, make_snapshot()),
        limiter=ConcurrencyLimiter(queue=queue, clock=clock),
        client=client,
        pool=pool or UnusedPool(),
        pause_detector=PauseDetector(
            interval_s=0.25, tolerance_s=0.5, settle_s=0.25, now=clock.now()
        ),
        observer=RecordingObserver(),
    )


def make_channel(
    stream: FakeStream,
    *,
    clock: Clock,
    observer: CallObserver,
    host_id: str = "accra-a-2",
    **calls: object,
) -> CallChannel:
    return CallChannel(
        host_id=host_id,
        stream=stream,
        settings=make_node_settings(**calls),
        clock=clock,
        observer=observer,
    )
