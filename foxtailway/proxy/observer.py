"""Interface through which the proxy reports what it does."""

from abc import abstractmethod

from expression import Result

from foxtailway.common.failure import Failure
from foxtailway.proxy.channel import ChannelObserver
from foxtailway.proxy.message import CallResponse
from foxtailway.routing.outcome import Refusal

__all__ = ["CallObserver"]


class CallObserver(ChannelObserver):
    """Receive the results of calls and the events of call streams."""

    @abstractmethod
    def call_finished(
        self, result: Result[CallResponse, Refusal], *, latency_s: float
    ) -> None:
        """Note the result of a call that entered the mesh here."""

    @abstractmethod
    def call_retried(self, cluster: str) -> None:
        """Note a further attempt of a call that did not run."""

    @abstractmethod
    def request_served(
        self, result: Result[CallResponse, Refusal], *, latency_s: float
    ) -> None:
        """Note the result of a request for this host's upstream."""

    @abstractmethod
    def peer_refused(self, failure: Failure) -> None:
        """Note a peer that was cut off."""

    @abstractmethod
    def request_quarantined(self, route: str, request_fingerprint: str) -> None:
        """Note a request that is refused since upstreams were lost with it."""
