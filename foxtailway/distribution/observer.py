"""Interface for auditing and measuring the distribution of versions."""

from abc import ABC, abstractmethod

from foxtailway.common.failure import Failure
from foxtailway.model.bundle import Bundle

__all__ = ["DistributionObserver"]


class DistributionObserver(ABC):
    """Receive applied and rejected versions and failures as they occur.

    The agent calls these methods on the event loop; they must not block.
    """

    @abstractmethod
    def on_applied(self, bundle: Bundle, *, delivered_by: str) -> None:
        """Handle a bundle that the sink applied."""

    @abstractmethod
    def on_rejected(
        self, bundle: Bundle, *, delivered_by: str, failure: Failure
    ) -> None:
        """Handle a bundle that the sink rejected."""

    @abstractmethod
    def on_failure(self, failure: Failure) -> None:
        """Handle a failure with a peer or the platform."""
