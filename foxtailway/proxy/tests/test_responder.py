import asyncio
import unittest

from expression import Error

from foxtailway.common import FailureKind, ManualClock
from foxtailway.proxy.message import (
    CallCancel,
    CallGoAway,
    CallHeartbeat,
    CallHello,
    CallHelloAck,
    CallRefusal,
    CallResponse,
    KeyQuery,
    KeyReply,
)
from foxtailway.proxy.responder import CallResponder
from foxtailway.proxy.tests.fakes import (
    FakeClient,
    FakeStream,
    RecordingObserver,
    make_call_request,
    make_node_settings,
    make_response,
    make_runner,
    run_ready,
)
from foxtailway.routing.outcome import Outcome, RefusalReason

HELLO = CallHello(protocol=1, mesh="pondside", host_id="accra-a-2")


class CallResponderTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.clock = ManualClock(start_s=1000.0)
        self.client = FakeClient()
        self.observer = RecordingObserver()
        self.streams: list[FakeStream] = []
        self.accepting: list[asyncio.Task] = []
        self.responder = self.make_responder()
        self.stream = await self.accept()

    async def asyncTearDown(self) -> None:
        self.client.released.set()
        for stream in self.streams:
            stream.writable.set()
            stream.close()
        await asyncio.wait(self.accepting, timeout=2.0)

    def make_responder(self, **calls: object) -> CallResponder:
        runner = make_runner(clock=self.clock, client=self.client, n_slots=10)
        return CallResponder(
            settings=make_node_settings(**calls),
            clock=self.clock,
            runner=runner,
            pause_detector=runner.pause_detector,
            observer=self.observer,
        )

    async def accept(
        self, *, hello: CallHello = HELLO, responder: CallResponder | None = None
    ) -> FakeStream:
        stream = FakeStream()
        accepting = (responder or self.responder).accept(stream, hello)
        self.accepting.append(asyncio.ensure_future(accepting))
        self.streams.append(stream)
        await run_ready()
        return stream

    async def feed(self, *messages: object) -> None:
        self.stream.feed(*messages)
        await run_ready()

    async def test_request_is_answered(self) -> None:
        self.client.released.set()
        await self.feed(make_call_request())
        self.assertEqual(self.stream.sent[0], CallHelloAck(host_id="accra-a-1"))
        self.assertEqual(self.stream.list_sent(CallResponse), [make_response()])

    async def test_wrong_mesh_and_protocol_are_refused_before_any_answer(self) -> None:
        for hello, kind in (
            (CallHello(protocol=2, mesh="pondside", host_id="x"), "wrong_protocol"),
            (CallHello(protocol=1, mesh="other", host_id="x"), "wrong_mesh"),
        ):
            stream = await self.accept(hello=hello)
            self.assertEqual(stream.sent, [])
            failure = self.observer.failures.pop()
            self.assertEqual(failure.kind.value, kind)
            self.assertEqual(failure.peer, stream.peer)

    async def test_slow_peer_does_not_stop_cancels_from_being_read(self) -> None:
        """Guard against a blocked write that stops the reading of messages."""
        await self.feed(make_call_request())
        self.stream.writable.clear()
        await self.feed(
            CallHeartbeat(sequence=1, is_reply=False), CallCancel(call_id=1)
        )
        self.assertTrue(self.client.cancel_tokens[0].is_cancelled)

    async def test_slow_peer_gets_a_bounded_number_of_heartbeats(self) -> None:
        """Guard against memory growth by replies that a peer does not read."""
        self.stream.writable.clear()
        heartbeats = [
            CallHeartbeat(sequence=sequence, is_reply=False) for sequence in range(50)
        ]
        await self.feed(*heartbeats)
        self.assertEqual(len(self.stream.list_sent(CallHeartbeat)), 1)
        self.stream.writable.set()
        await run_ready()
        await self.feed(heartbeats[0])
        self.assertEqual(len(self.stream.list_sent(CallHeartbeat)), 2)

    async def test_answers_that_wait_for_a_slow_peer_count_as_open(self) -> None:
        """Guard against memory growth by responses that a peer does not read."""
        self.client.released.set()
        responder = self.make_responder(max_in_flight=2)
        stream = await self.accept(responder=responder)
        stream.writable.clear()
        for call_id in range(1, 6):
            stream.feed(make_call_request(call_id=call_id))
            await run_ready()
        self.assertEqual(len(self.client.requests), 2)

    async def test_answer_too_large_for_the_stream_is_refused_as_unknown(self) -> None:
        """Guard against a caller that waits for a response that is not sent."""
        await self.feed(make_call_request(call_id=1), make_call_request(call_id=2))
        self.stream.fail_next(FailureKind.TOO_LARGE)
        self.client.released.set()
        await run_ready()
        (refusal,) = self.stream.list_sent(CallRefusal)
        self.assertEqual(refusal.outcome, Outcome.UNKNOWN)
        self.assertEqual(refusal.reason, RefusalReason.TOO_LARGE)
        self.assertEqual(len(self.stream.list_sent(CallResponse)), 1)
        self.assertFalse(self.stream.is_closed)

    async def test_peer_with_a_full_send_buffer_is_disconnected(self) -> None:
        """Guard against callers that wait for a refusal that is not sent."""
        await self.feed(make_call_request())
        self.stream.send_failure = self.stream.make_failure(FailureKind.UNAVAILABLE)
        self.client.released.set()
        await run_ready()
        self.assertTrue(self.stream.is_closed)

    async def test_end_of_the_stream_cancels_its_requests(self) -> None:
        await self.feed(make_call_request())
        other = await self.accept()
        other.feed(make_call_request())
        await run_ready()
        self.stream.end()
        await run_ready()
        cancelled = [token.is_cancelled for token in self.client.cancel_tokens]
        self.assertEqual(cancelled, [True, False])

    async def test_repeated_identifier_and_unexpected_message_end_the_stream(self):
        for message in (make_call_request(), CallHelloAck(host_id="x")):
            stream = await self.accept()
            stream.feed(make_call_request(), message)
            await run_ready()
            self.assertEqual(self.observer.failures.pop().kind, FailureKind.INVALID)

    async def test_non_finite_durations_end_the_stream(self) -> None:
        """Guard against keys that are never removed from the ledger."""
        for message in (
            make_call_request(window_s=float("nan")),
            make_call_request(window_s=float("inf")),
            KeyQuery(call_id=1, idempotency_key="key", window_s=float("nan")),
        ):
            stream = await self.accept()
            stream.feed(message)
            await run_ready()
            self.assertEqual(self.observer.failures.pop().kind, FailureKind.INVALID)
        self.assertEqual(self.client.requests, [])

    async def test_requests_beyond_the_bound_are_refused_as_not_run(self) -> None:
        responder = self.make_responder(max_in_flight=1)
        stream = await self.accept(responder=responder)
        stream.feed(make_call_request(call_id=1), make_call_request(call_id=2))
        await run_ready()
        (refusal,) = stream.list_sent(CallRefusal)
        self.assertEqual(refusal.call_id, 2)
        self.assertEqual(refusal.outcome, Outcome.NOT_RUN)

    async def test_drain_refuses_new_requests_and_writes_the_last_answers(self) -> None:
        await self.feed(make_call_request(call_id=1))
        draining = asyncio.ensure_future(self.responder.drain(5.0))
        await self.feed(make_call_request(call_id=2))
        self.assertEqual(len(self.stream.list_sent(CallGoAway)), 1)
        (refusal,) = self.stream.list_sent(CallRefusal)
        self.assertEqual(refusal.reason, RefusalReason.DRAINING)
        self.assertEqual(refusal.outcome, Outcome.NOT_RUN)
        self.assertFalse(draining.done())
        self.client.released.set()
        await draining
        self.assertEqual(len(self.stream.list_sent(CallResponse)), 1)
        self.assertEqual(self.responder.tasks, set())

    async def test_slow_peer_does_not_delay_the_go_away_to_others(self) -> None:
        """Guard against a blocked write that delays the go-away to other peers."""
        others = [await self.accept() for _ in range(3)]
        self.stream.writable.clear()
        draining = asyncio.ensure_future(self.responder.drain(0.05))
        await run_ready()
        n_go_aways = [len(other.list_sent(CallGoAway)) for other in others]
        self.assertEqual(n_go_aways, [1, 1, 1])
        await asyncio.wait_for(draining, 2.0)

    async def test_leaving_host_sends_go_away_once_and_to_new_streams(self) -> None:
        self.responder.set_leaving(True)
        self.responder.set_leaving(True)
        late = await self.accept()
        for stream in (self.stream, late):
            self.assertEqual(len(stream.list_sent(CallGoAway)), 1)
        self.responder.set_leaving(False)
        self.client.released.set()
        await self.feed(make_call_request())
        self.assertEqual(len(self.stream.list_sent(CallResponse)), 1)

    async def test_silent_stream_is_closed(self) -> None:
        responder = self.make_responder(heartbeat_s=0.01)
        stream = await self.accept(responder=responder)
        self.clock.advance(3.1)
        await asyncio.sleep(0.05)
        self.assertTrue(stream.is_closed)
        self.assertEqual(responder.inbound_streams, set())

    async def test_relinquished_key_is_refused_from_then_on(self) -> None:
        """Guard against a double run at the previous and the new home."""
        key = "a" * 32
        query = KeyQuery(call_id=1, idempotency_key=key, window_s=60.0)
        await self.feed(query)
        (reply,) = self.stream.list_sent(KeyReply)
        self.assertFalse(reply.is_relinquished)
        self.clock.advance(100.0)
        await self.feed(query)
        self.assertTrue(self.stream.list_sent(KeyReply)[1].is_relinquished)
        ledger = self.responder.runner.ledger
        decision = ledger.begin(key, 60.0, self.clock.now())
        self.assertEqual(decision.refusal.outcome, Outcome.UNKNOWN)

    async def test_refusal_of_the_upstream_is_passed_on(self) -> None:
        refusal = self.responder.refuse(RefusalReason.LOST)
        self.client.result = Error(refusal)
        self.client.released.set()
        await self.feed(make_call_request())
        (sent,) = self.stream.list_sent(CallRefusal)
        self.assertEqual(sent.reason, RefusalReason.LOST)
