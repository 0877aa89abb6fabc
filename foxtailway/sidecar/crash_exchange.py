"""Replication of crash notices between sidecars."""

from collections import deque
from collections.abc import Callable, Iterable

from foxtailway.sidecar.crash_detector import UpstreamCrash
from foxtailway.sidecar.crash_guard import CrashGuard
from foxtailway.sidecar.log import EventLog
from foxtailway.sidecar.peer_message import PeerCrash
from foxtailway.traffic.reader_roles import ReaderRoles

__all__ = ["CrashExchange"]

# Hosts of a region that forward notices to all others of it. With several of them,
# notices arrive while one is down.
N_FORWARDERS = 3
# Interval of the notices about answered requests. Nodes that see responses to the same
# request then rarely all send one: it is not sent again by a node that receives it.
ANSWERS_INTERVAL_S = 0.5
# Log lines about crashes of other upstreams in a second; the next line has the number
# of those that were left out.
MAX_LINES_PER_S = 3
# Fingerprints of quarantined requests in a log line.
MAX_LOGGED_FINGERPRINTS = 8


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
    of them. There is one notice a crash, with all requests that were lost in it.

    Attributes
    ----------
    n_learnt : int
        Crashes of other upstreams that peers reported.
    n_quarantines : int
        Quarantines that began or became longer.
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
        self.n_learnt = 0
        self.n_quarantines = 0
        self.line_times: deque[float] = deque(maxlen=MAX_LINES_PER_S)
        self.n_unlogged = 0
        self.answers_due_at = float("-inf")

    def report(self, crash: UpstreamCrash) -> None:
        """Record, send and log a crash of the upstream on this host."""
        load = crash.load
        crash_id = crash.crash_id
        is_first = crash_id not in self.guard.known_crashes
        notice = self.guard.make_notice(
            crash_id, crash.fingerprints, is_weak=load.may_explain_crash
        )
        quarantined = self.record(notice)
        self.send(notice)
        if is_first:
            self.log.write(
                "upstream_crashed",
                upstream=crash.upstream_id,
                crash=crash_id,
                n_in_flight=load.n_in_flight,
                is_cold=load.is_cold,
                is_overloaded=load.is_overloaded,
                n_suspects=len(notice.suspects),
                quarantined=quarantined[:MAX_LOGGED_FINGERPRINTS],
            )

    def send(self, notice: PeerCrash) -> None:
        """Send a notice of this node to all others."""
        self.send_to_connected(notice)
        if not self.forward(notice):
            self.send_to_forwarders(notice)

    def send_answers(self) -> None:
        """Tell all nodes which suspected requests have been answered since."""
        now = self.read_time()
        if now < self.answers_due_at:
            return
        notice = self.guard.take_answers()
        if notice is not None:
            self.answers_due_at = now + ANSWERS_INTERVAL_S
            self.guard.record_crash(notice)
            self.send(notice)

    def receive(self, notice: PeerCrash) -> None:
        """Record a crash that a peer reported, unless it is known."""
        if self.guard.is_known(notice):
            return
        is_first = notice.crash_id not in self.guard.known_crashes
        is_recent = self.guard.is_recent(notice)
        quarantined = self.record(notice)
        if is_recent:
            self.forward(notice)
        if is_first and notice.suspects:
            self.n_learnt += 1
            self.log_learnt(notice, quarantined)

    def record(self, notice: PeerCrash) -> list[str]:
        """Record a crash and return the fingerprints that are quarantined by it."""
        quarantined = self.guard.record_crash(notice)
        self.n_quarantines += len(quarantined)
        return quarantined

    def log_learnt(self, notice: PeerCrash, quarantined: list[str]) -> None:
        """Log a crash that a peer reported, unless there were many in this second."""
        now = self.read_time()
        times = self.line_times
        if len(times) == MAX_LINES_PER_S and now - times[0] < 1.0:
            self.n_unlogged += 1
            return
        times.append(now)
        self.log.write(
            "crash_learnt",
            crash=notice.crash_id,
            n_suspects=len(notice.suspects),
            is_weak=notice.is_weak,
            quarantined=quarantined[:MAX_LOGGED_FINGERPRINTS],
            n_unlogged=self.n_unlogged,
        )
        self.n_unlogged = 0

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
        return self.guard.list_recent_crashes()
