"""Last configurations of a sidecar and the changes between them."""

from foxtailway.sidecar.update_content import pack
from foxtailway.traffic.configuration import TrafficConfiguration
from foxtailway.traffic.configuration_change import (
    NO_VERSION,
    compare_configurations,
)

__all__ = ["ConfigurationHistory"]

# Number of recent configurations that a node keeps, so that it can send the changes
# since one of them in place of all routes.
N_RECENT_CONFIGURATIONS = 8


class ConfigurationHistory:
    """Newest known configuration and some of those before it.

    Attributes
    ----------
    configuration : TrafficConfiguration or None
        Newest known configuration.
    recent : dict of int to TrafficConfiguration
        Last configurations by version, in order of application.
    applied_at : dict of int to float
        Monotonic time in seconds at which each of them was applied.
    packed_changes : dict of int to bytes
        Packed change to the newest configuration by base version. Many nodes may
        request the same change at once.
    """

    def __init__(self) -> None:
        self.configuration: TrafficConfiguration | None = None
        self.recent: dict[int, TrafficConfiguration] = {}
        self.applied_at: dict[int, float] = {}
        self.packed_changes: dict[int, bytes] = {}

    @property
    def version(self) -> int:
        """Version of the newest known configuration; `NO_VERSION` for none."""
        if self.configuration is None:
            return NO_VERSION
        return self.configuration.version

    def record(self, configuration: TrafficConfiguration, now: float) -> None:
        """Record that a configuration was applied.

        Parameters
        ----------
        configuration : TrafficConfiguration
            Configuration, newer than all before.
        now : float
            Monotonic time in seconds.
        """
        self.configuration = configuration
        self.packed_changes.clear()
        self.recent[configuration.version] = configuration
        self.applied_at[configuration.version] = now
        if len(self.recent) > N_RECENT_CONFIGURATIONS:
            oldest_version = next(iter(self.recent))
            del self.recent[oldest_version], self.applied_at[oldest_version]

    def count_versions_since(self, since: float) -> int:
        """Return how many of the recent configurations were applied since a time.

        Parameters
        ----------
        since : float
            Monotonic time in seconds.
        """
        return sum(applied_at >= since for applied_at in self.applied_at.values())

    def pack_change_since(self, version: int) -> bytes:
        """Return the packed change from a version to the newest configuration.

        It is empty if that version is not older, and contains all routes if it is not
        among the recent ones.
        """
        if self.configuration is None or version >= self.version:
            return b""
        base = self.recent.get(version)
        base_version = NO_VERSION if base is None else version
        packed = self.packed_changes.get(base_version)
        if packed is None:
            packed = pack(compare_configurations(base, self.configuration))
            self.packed_changes[base_version] = packed
        return packed
