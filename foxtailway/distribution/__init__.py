"""Distribution of configuration and host list versions to all nodes."""

from foxtailway.distribution.agent import DistributionAgent
from foxtailway.distribution.message import CONTROL_MESSAGE_TYPES, ControlHello
from foxtailway.distribution.observer import DistributionObserver
from foxtailway.distribution.sink import BundleSink
from foxtailway.distribution.status import DistributionStatus
from foxtailway.distribution.topology import Topology

__all__ = [
    "CONTROL_MESSAGE_TYPES",
    "BundleSink",
    "ControlHello",
    "DistributionAgent",
    "DistributionObserver",
    "DistributionStatus",
    "Topology",
]
