"""Interface for the collection of consistent bundles."""

from abc import ABC, abstractmethod

from expression import Result

from foxtailway.common.failure import Failure
from foxtailway.model.bundle import Bundle, BundleKind

__all__ = ["BundleCollector"]


class BundleCollector(ABC):
    """Collect the documents of one kind as of one revision of the store."""

    @abstractmethod
    async def collect(
        self, kind: BundleKind, *, wait_s: float
    ) -> Result[Bundle | None, Failure]:
        """Wait for a change and return the bundle of the changed set.

        Parameters
        ----------
        kind : BundleKind
            Kind of the bundle.
        wait_s : float
            Longest wait for a change, in seconds; 0 lists the changes once.

        Returns
        -------
        Result
            The bundle at the newest revision; None if the platform confirmed
            that nothing changed since the last collected bundle; else a
            failure.
        """
