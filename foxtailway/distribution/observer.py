"""Interface through which distribution is audited and measured."""

from abc import ABC, abstractmethod

from foxtailway.common.failure import Failure
from foxtailway.model.bundle import Bundle

__all__ = ["DistributionObserver"]


class DistributionObserver(ABC):
    """Hear of versions and failures as they occur."""

    @abstractmethod
    def on_applied(self, bundle: Bundle, *, delivered_by: str) -> None:
        """Note that the sink applied a bundle."""

    @abstractmethod
    def on_rejected(
        self, bundle: Bundle, *, delivered_by: str, failure: Failure
    ) -> None:
        """Note that the sink rejected a bundle."""

    @abstractmethod
    def on_failure(self, failure: Failure) -> None:
        """Note a failure with a peer or the platform."""
