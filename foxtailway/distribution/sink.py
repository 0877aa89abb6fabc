"""Interface to the part of the node that applies bundles."""

from abc import ABC, abstractmethod

from expression import Result

from foxtailway.common.failure import Failure
from foxtailway.model.bundle import Bundle

__all__ = ["BundleSink"]


class BundleSink(ABC):
    """Validate, compile and apply complete bundles.

    The agent calls `offer` only with bundles that are newer than the last applied
    one of their kind and whose digests were verified.
    """

    @abstractmethod
    def offer(self, bundle: Bundle, *, delivered_by: str) -> Result[None, Failure]:
        """Apply a bundle as a whole, or reject it without any effect.

        Parameters
        ----------
        bundle : Bundle
            Verified bundle, newer than the applied one.
        delivered_by : str
            Host identifier of the parent, or ``platform``.

        Returns
        -------
        Result
            A failure when the bundle is invalid; nothing has changed then.
        """
