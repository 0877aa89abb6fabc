"""Node status that the admin port serves."""

from foxtailway.distribution.agent import DistributionAgent
from foxtailway.model.bundle import BundleKind
from foxtailway.node.observer import NodeObserver
from foxtailway.observe.status import NodeStatus, StatusProvider
from foxtailway.proxy.dispatcher import CallDispatcher
from foxtailway.proxy.routing_state import RoutingState
from foxtailway.settings.model import HostSettings

__all__ = ["NodeStatusReader"]

PLATFORM_PARENT = "platform"
UNKNOWN_ROLE = "unknown"


class NodeStatusReader(StatusProvider):
    """Provider that reads the status of a node from its components.

    Parameters
    ----------
    host : HostSettings
        Identity of the host.
    state : RoutingState
        Routing state with the snapshot in force.
    agent : DistributionAgent
        Agent with the state of distribution.
    dispatcher : CallDispatcher
        Dispatcher that counts the calls in flight.
    observer : NodeObserver
        Observer with the versions in force, the counters and the last rejection.
    """

    def __init__(
        self,
        *,
        host: HostSettings,
        state: RoutingState,
        agent: DistributionAgent,
        dispatcher: CallDispatcher,
        observer: NodeObserver,
    ) -> None:
        self.host = host
        self.state = state
        self.agent = agent
        self.dispatcher = dispatcher
        self.observer = observer

    def read_status(self) -> NodeStatus:
        """Return the current status of the node."""
        status = self.agent.status()
        snapshot = self.state.snapshot
        role = status.role or UNKNOWN_ROLE
        return NodeStatus(
            host_id=self.host.host_id,
            zone=self.host.zone,
            region=self.host.region,
            config_version=self.observer.find_version(BundleKind.CONFIG),
            hosts_version=self.observer.find_version(BundleKind.HOSTS),
            role=role,
            parent=status.parent_host_id,
            n_children=status.n_children,
            confirmed_age_s=status.confirmed_age_s,
            n_hops=status.n_hops,
            is_ready=snapshot is not None,
            is_stopping=self.dispatcher.is_stopping,
            last_rejection=self.observer.last_rejection,
            withdrawn_routes=snapshot.withdrawn_routes if snapshot else (),
            counters={
                "calls_in_flight": self.dispatcher.n_in_flight,
                "refused_older": status.n_refused_older,
                "control_bytes_sent": status.n_bytes_sent,
                "control_bytes_received": status.n_bytes_received,
                "platform_calls": status.n_platform_calls,
                "dropped_answers": self.observer.n_dropped_replies,
                "refused_peers": self.observer.n_refused_peers,
                "quarantined_requests": self.observer.n_quarantined,
                "failed_streams": self.observer.n_failed_streams,
            },
        )
