"""Knowledge of which upstream has the address on this host."""

from foxtailway.traffic.selection import REPLACED_S

__all__ = ["AddressOwner"]


class AddressOwner:
    """Upstreams that another one has replaced at the address, as its refusals show.

    Attributes
    ----------
    running_id : str or None
        Identifier that the last such refusal named; None if it named none.
    replaced_at : dict of str to float
        Monotonic time in seconds of the last refusal of requests for each upstream.

    Notes
    -----
    A refusal says that an upstream is not at the address. It says nothing about the
    service of the one that is: addresses pass to upstreams of other services, and the
    settings of this host may be those of an earlier upstream. Only the registry tells
    which service an upstream belongs to, so requests for one upstream are never sent
    under the identifier of another.
    """

    def __init__(self) -> None:
        self.running_id: str | None = None
        self.replaced_at: dict[str, float] = {}

    def record_refusal(
        self, upstream_id: str, running_id: str | None, now: float
    ) -> None:
        """Record that another upstream refused a request.

        Parameters
        ----------
        upstream_id : str
            Upstream that the request was meant for.
        running_id : str or None
            Upstream that the refusal names, if any.
        now : float
            Monotonic time in seconds.
        """
        self.running_id = running_id
        self.replaced_at.pop(upstream_id, None)
        self.replaced_at[upstream_id] = now
        for replaced_id, replaced_at in list(self.replaced_at.items()):
            if now - replaced_at < REPLACED_S:
                break
            del self.replaced_at[replaced_id]

    def is_replaced(self, upstream_id: str, now: float) -> bool:
        """Return whether another upstream recently had the address.

        Parameters
        ----------
        upstream_id : str
            Upstream that a request is meant for.
        now : float
            Monotonic time in seconds.
        """
        replaced_at = self.replaced_at.get(upstream_id)
        return replaced_at is not None and now - replaced_at < REPLACED_S
