"""Compilation of bundles into the snapshot in force."""

from abc import ABC, abstractmethod

from expression import Error, Ok, Result

from foxtailway.common.failure import Failure
from foxtailway.config.compiler import SnapshotCompiler
from foxtailway.distribution.sink import BundleSink
from foxtailway.model.bundle import Bundle, BundleKind, make_bundle
from foxtailway.model.snapshot import Snapshot

__all__ = ["SnapshotApplier", "SnapshotObserver"]


class SnapshotObserver(ABC):
    """Receiver of the compiled snapshots."""

    @abstractmethod
    def snapshot_applied(self, snapshot: Snapshot) -> None:
        """Put a snapshot in force.

        Called once for each valid pair of a configuration and a host list.
        """


class SnapshotApplier(BundleSink):
    """Sink that compiles bundles and puts valid ones in force.

    Until the first host list arrives, a configuration is validated against an
    empty one. A host list that arrives before the first configuration is stored
    unchecked. No snapshot is in force before both kinds are present.

    Parameters
    ----------
    compiler : SnapshotCompiler
        Validates bundles and compiles them.
    observer : SnapshotObserver
        Receives each compiled snapshot.
    """

    def __init__(
        self, *, compiler: SnapshotCompiler, observer: SnapshotObserver
    ) -> None:
        self.compiler = compiler
        self.observer = observer
        self.config: Bundle | None = None
        self.hosts: Bundle | None = None

    def offer(self, bundle: Bundle, *, delivered_by: str) -> Result[None, Failure]:
        """Apply a complete bundle, or reject it without any change."""
        if bundle.kind is BundleKind.CONFIG:
            return self.apply(config=bundle, hosts=self.hosts)
        return self.apply(config=self.config, hosts=bundle)

    def apply(
        self, *, config: Bundle | None, hosts: Bundle | None
    ) -> Result[None, Failure]:
        """Compile a pair of bundles and store it if it is valid.

        Returns the failure of an invalid pair, which changes nothing.
        """
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
