"""Interface to which the proxy reports its events."""

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
        """Handle the result of a call that entered the mesh at this node."""

    @abstractmethod
    def call_retried(self, cluster: str) -> None:
        """Handle a retry of a call that did not run."""

    @abstractmethod
    def request_served(
        self, result: Result[CallResponse, Refusal], *, latency_s: float
    ) -> None:
        """Handle the result of a request for the local upstream."""

    @abstractmethod
    def peer_refused(self, failure: Failure) -> None:
        """Handle a peer whose stream is refused or broke the protocol."""

    @abstractmethod
    def request_quarantined(self, route: str, request_fingerprint: str) -> None:
        """Handle a request that is quarantined because it lost upstreams."""
