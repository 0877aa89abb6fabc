"""Application of bundles to the node."""

from abc import ABC, abstractmethod

from expression import Error, Ok, Result

from foxtailway.common.failure import Failure
from foxtailway.config.compiler import SnapshotCompiler
from foxtailway.distribution.sink import BundleSink
from foxtailway.model.bundle import Bundle, BundleKind, make_bundle
from foxtailway.model.snapshot import Snapshot

__all__ = ["SnapshotApplier", "SnapshotObserver"]


class SnapshotObserver(ABC):
    """Learn of snapshots that came into force."""

    @abstractmethod
    def snapshot_applied(self, snapshot: Snapshot) -> None:
        """Put a snapshot in force."""


class SnapshotApplier(BundleSink):
    """Compile bundles and put the snapshot in force, or reject them.

    Until a host list arrives, a configuration is checked against an empty
    one; no snapshot is in force before both are present.

    Parameters
    ----------
    compiler : SnapshotCompiler
        Validates and compiles.
    observer : SnapshotObserver
        Receiver of snapshots.
    """

    def __init__(
        self, *, compiler: SnapshotCompiler, observer: SnapshotObserver
    ) -> None:
        self.compiler = compiler
        self.observer = observer
        self.config: Bundle | None = None
        self.hosts: Bundle | None = None

    def offer(self, bundle: Bundle, *, delivered_by: str) -> Result[None, Failure]:
        """Apply a bundle whole or reject it whole."""
        if bundle.kind is BundleKind.CONFIG:
            return self.apply(config=bundle, hosts=self.hosts)
        return self.apply(config=self.config, hosts=bundle)

    def apply(
        self, *, config: Bundle | None, hosts: Bundle | None
    ) -> Result[None, Failure]:
        """Compile a pair of bundles and keep it if it is valid."""
        if config is not None:
            compiled = self.compiler.compile(config=config, hosts=hosts or EMPTY_HOSTS)
            if compiled.is_error():
                return Error(compiled.error.failure)
            if hosts is not None:
                self.observer.snapshot_applied(compiled.ok)
        self.config = config
        self.hosts = hosts
        return Ok(None)


EMPTY_HOSTS = make_bundle(kind=BundleKind.HOSTS, generation=0, revision=0, documents=())
