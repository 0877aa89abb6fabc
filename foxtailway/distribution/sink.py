"""Interface between distribution and the node that applies versions."""

from abc import ABC, abstractmethod

from expression import Result

from foxtailway.common.failure import Failure
from foxtailway.model.bundle import Bundle

__all__ = ["BundleSink"]


class BundleSink(ABC):
    """Validate, compile and apply complete bundles.

    Distribution calls `offer` only with bundles that are newer than the last
    applied one of their kind and whose digests were verified.
    """

    @abstractmethod
    def offer(self, bundle: Bundle, *, delivered_by: str) -> Result[None, Failure]:
        """Apply a bundle whole or reject it whole.

        Parameters
        ----------
        bundle : Bundle
            Newer bundle.
        delivered_by : str
            Host identifier of the parent, or ``platform``.

        Returns
        -------
        Result
            A failure when the bundle is invalid; nothing changed then.
        """
