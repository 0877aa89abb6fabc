"""Interface that turns the platform's keys into consistent bundles."""

from abc import ABC, abstractmethod

from expression import Result

from foxtailway.common.failure import Failure
from foxtailway.model.bundle import Bundle, BundleKind

__all__ = ["BundleCollector"]


class BundleCollector(ABC):
    """Collect the documents of one kind as they stood at one revision."""

    @abstractmethod
    async def collect(
        self, kind: BundleKind, *, wait_s: float
    ) -> Result[Bundle | None, Failure]:
        """Wait for a change and return the whole changed set.

        Parameters
        ----------
        kind : BundleKind
            Sequence to collect.
        wait_s : float
            Longest time to wait for a change, in seconds; 0 asks once.

        Returns
        -------
        Result
            The bundle at the newest revision; None when the platform confirmed
            that nothing changed since the last collected bundle.
        """
