from unittest import TestCase

from foxtailway.traffic.failed_requests import MAX_REQUESTS, FailedRequests


class FailedRequestsTest(TestCase):
    """Pattern: overload, in which clients return soon after a refusal."""

    def setUp(self) -> None:
        self.requests = FailedRequests()
        self.requests.record("lookup", "/a", due_at=0.25, deadline=0.6, now=0.05)

    def test_request_that_returns_is_due_by_its_first_attempt(self) -> None:
        self.assertEqual(self.requests.pop_due("lookup", "/a", 0.61), 0.25)
        self.assertIsNone(self.requests.pop_due("lookup", "/a", 0.61))

    def test_other_requests_are_not_mistaken_for_it(self) -> None:
        self.assertIsNone(self.requests.pop_due("lookup", "/b", 0.6))
        self.assertIsNone(self.requests.pop_due("booking", "/a", 0.6))
        self.assertIsNone(self.requests.pop_due("lookup", "/a", 0.7))

    def test_memory_is_bounded(self) -> None:
        for number in range(2 * MAX_REQUESTS):
            target = f"/{number}"
            self.requests.record("lookup", target, due_at=0.0, deadline=9.0, now=0.1)
        self.assertEqual(len(self.requests.requests), MAX_REQUESTS)

    def test_expired_requests_are_forgotten(self) -> None:
        self.requests.record("lookup", "/b", due_at=1.0, deadline=2.0, now=1.0)
        self.assertEqual(len(self.requests.requests), 1)
