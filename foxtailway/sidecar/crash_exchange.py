"""Replication of crash notices between sidecars."""

from collections.abc import Callable, Iterable

from foxtailway.sidecar.crash_guard import CrashGuard
from foxtailway.sidecar.log import EventLog
from foxtailway.sidecar.peer_message import PeerCrash
from foxtailway.traffic.reader_roles import ReaderRoles

__all__ = ["CrashExchange"]

# Hosts of a region that forward notices to all others of it. With several of them,
# notices arrive while one is down.
N_FORWARDERS = 3


class CrashExchange:
    """Tell all sidecars of the mesh which requests crashed which upstreams.

    Parameters
    ----------
    guard : CrashGuard
        Records the crashes.
    roles : ReaderRoles
        Tells which nodes of the region forward, and the readers of other regions.
    send_to_connected : callable
        Sends a notice to the peers that have a stream to this node.
    send_to_hosts : callable
        Sends a notice to the sidecars at some addresses.
    read_time : callable
        Returns the monotonic time in seconds.
    log : EventLog
        Event log.

    Notes
    -----
    Calls stay in their availability zone as long as it has upstreams, so the peers
    with a stream to a crashed upstream are those of one zone. The first hosts in the
    ranking of a region forward each notice that is new to them to the whole region and
    to the readers of other regions. They are the same for all nodes and don't depend on
    who reads the store, so that a notice takes a few messages a node in an outage, too.
    Peers exchange recent notices when a stream opens, so that a restarted node learns
    of them.
    """

    def __init__(
        self,
        *,
        guard: CrashGuard,
        roles: ReaderRoles,
        send_to_connected: Callable[[PeerCrash], None],
        send_to_hosts: Callable[[Iterable[str], PeerCrash], None],
        read_time: Callable[[], float],
        log: EventLog,
    ) -> None:
        self.guard = guard
        self.roles = roles
        self.send_to_connected = send_to_connected
        self.send_to_hosts = send_to_hosts
        self.read_time = read_time
        self.log = log

    def report(self, request_fingerprint: str, upstream_id: str, crash_id: str) -> None:
        """Record, send and log a crash of the upstream on this host."""
        notice = PeerCrash(fingerprint=request_fingerprint, crash_id=crash_id)
        is_quarantined = self.guard.record_crash(request_fingerprint, crash_id)
        self.send_to_connected(notice)
        if not self.forward(notice):
            self.send_to_forwarders(notice)
        self.log.write(
            "upstream_crashed",
            upstream=upstream_id,
            crash=crash_id,
            fingerprint=request_fingerprint,
            is_quarantined=is_quarantined,
        )

    def receive(self, notice: PeerCrash) -> None:
        """Record a crash that a peer reported, unless it is known."""
        if self.guard.is_known(notice.fingerprint, notice.crash_id):
            return
        is_quarantined = self.guard.record_crash(notice.fingerprint, notice.crash_id)
        self.forward(notice)
        self.log.write(
            "crash_learnt",
            crash=notice.crash_id,
            fingerprint=notice.fingerprint,
            is_quarantined=is_quarantined,
        )

    @property
    def is_forwarder(self) -> bool:
        """Whether this node forwards notices to all nodes of its region."""
        position = self.roles.position
        return position is not None and position < N_FORWARDERS

    def forward(self, notice: PeerCrash) -> bool:
        """Forward a new notice if that is the task of this node; return whether it is.

        The reader of a region receives the notices of other regions. If it is not a
        forwarder itself, it hands them to those of its region.
        """
        if self.is_forwarder:
            self.send_to_hosts(self.roles.peers, notice)
        elif self.roles.is_reader(self.read_time()):
            self.send_to_forwarders(notice)
        else:
            return False
        remote_readers = (reader.address for reader in self.roles.list_remote_readers())
        self.send_to_hosts(remote_readers, notice)
        return True

    def send_to_forwarders(self, notice: PeerCrash) -> None:
        """Send a notice to the nodes that forward it in this region."""
        self.send_to_hosts(self.roles.peers[:N_FORWARDERS], notice)

    def list_recent(self) -> list[PeerCrash]:
        """Return the notices that a peer gets when a stream to it opens."""
        return [
            PeerCrash(fingerprint=fingerprint, crash_id=crash_id)
            for fingerprint, crash_id in self.guard.list_recent_crashes()
        ]
