"""Decoding of items of the platform's store."""

from collections.abc import Iterable

from foxtailway.platform.document import (
    ConfigurationDecoder,
    DocumentError,
    decode_evacuated_zone,
    decode_upstream,
)
from foxtailway.platform.names import (
    CONFIG_KEY,
    EVACUATION_PREFIX,
    UPSTREAM_PREFIX,
)
from foxtailway.platform.store import StoreItem
from foxtailway.sidecar.node import SidecarNode
from foxtailway.traffic.configuration import TrafficConfiguration
from foxtailway.traffic.membership import Upstream
from foxtailway.traffic.registry_change import (
    EvacuationWrite,
    RegistryChange,
    StorePosition,
)

__all__ = ["ChangeDecoder"]

# Invalid entries that are remembered, which bounds the memory.
MAX_IGNORED_KEYS = 1_000


class ChangeDecoder:
    """Decode items of the store into registry changes.

    Parameters
    ----------
    node : SidecarNode
        Node that applies the changes.

    Attributes
    ----------
    ignored : dict of str to StorePosition
        Position of each invalid entry by key, so that an entry is logged once.
    """

    def __init__(self, *, node: SidecarNode) -> None:
        self.node = node
        self.configuration_decoder = ConfigurationDecoder()
        self.ignored: dict[str, StorePosition] = {}

    def decode_change(
        self,
        base_revision: int | None,
        position: StorePosition,
        items: Iterable[StoreItem],
    ) -> RegistryChange:
        """Return the registry change in items up to a position.

        Of the items of a registry key only the last one is used, and of those of the
        configuration the last valid one.
        """
        latest_items = {item.key: item for item in items if item.key != CONFIG_KEY}
        upstreams: list[Upstream] = []
        removed: list[str] = []
        evacuated: list[str] = []
        returned: list[str] = []
        epoch = position.epoch
        for key, item in latest_items.items():
            if item.is_removed:
                self.ignored.pop(key, None)
            if key.startswith(EVACUATION_PREFIX):
                zone = self.decode_evacuated_zone(item, epoch)
                if zone is not None:
                    (returned if item.is_removed else evacuated).append(zone)
            elif not key.startswith(UPSTREAM_PREFIX):
                continue
            elif item.is_removed:
                removed.append(key.removeprefix(UPSTREAM_PREFIX))
            else:
                upstream = self.decode_upstream(item, epoch)
                if upstream is not None:
                    upstreams.append(upstream)
        return RegistryChange(
            base_revision=base_revision,
            revision=position.revision,
            upstreams=tuple(upstreams),
            removed=tuple(removed),
            configuration=self.decode_configuration(items),
            evacuated=tuple(evacuated),
            returned=tuple(returned),
            epoch=epoch,
            evacuation_writes=self.list_evacuation_writes(items) if epoch else (),
        )

    def list_evacuation_writes(
        self, items: Iterable[StoreItem]
    ) -> tuple[EvacuationWrite, ...]:
        """Return all writes of evacuations among the items, in order."""
        zones = {
            EVACUATION_PREFIX + zone: zone for zone in self.node.settings.zone_regions
        }
        return tuple(
            EvacuationWrite(zone=zones[item.key], revision=item.revision)
            for item in items
            if item.key in zones and not item.is_removed
        )

    def decode_evacuated_zone(self, item: StoreItem, epoch: int) -> str | None:
        """Return the zone in the key of an evacuation, or None for an invalid key.

        The removal of an invalid key is not logged.
        """
        zones = self.node.settings.zone_regions
        try:
            return decode_evacuated_zone(item.key, EVACUATION_PREFIX, zones)
        except DocumentError as error:
            if not item.is_removed:
                self.record_ignored(item, epoch, error)
            return None

    def decode_upstream(self, item: StoreItem, epoch: int) -> Upstream | None:
        """Return the upstream in a registry entry, or None if the entry is invalid."""
        upstream_id = item.key.removeprefix(UPSTREAM_PREFIX)
        try:
            return decode_upstream(
                item.key,
                upstream_id,
                item.content or b"",
                created_revision=item.created_revision,
                created_epoch=epoch,
            )
        except DocumentError as error:
            self.record_ignored(item, epoch, error)
            return None

    def record_ignored(self, item: StoreItem, epoch: int, error: DocumentError) -> None:
        """Count and log an invalid entry, once for each of its revisions."""
        position = StorePosition(epoch=epoch, revision=item.revision)
        if self.ignored.get(item.key) == position:
            return
        self.ignored[item.key] = position
        if len(self.ignored) > MAX_IGNORED_KEYS:
            del self.ignored[next(iter(self.ignored))]
        self.node.exchange.n_ignored_entries += 1
        self.node.log.write("entry_ignored", error=error, revision=item.revision)

    def decode_configuration(
        self, items: Iterable[StoreItem]
    ) -> TrafficConfiguration | None:
        """Return the last valid configuration among the items, or None without one."""
        configuration_items = [
            item
            for item in items
            if item.key == CONFIG_KEY and item.content is not None
        ]
        for item in reversed(configuration_items):
            try:
                return self.configuration_decoder.decode(item.key, item.content)
            except DocumentError as error:
                self.node.log.write(
                    "configuration_rejected", error=error, revision=item.revision
                )
        return None
