"""Faults that a soak injects from outside of the processes."""

import asyncio
import signal
import time
from abc import ABC, abstractmethod
from contextlib import suppress
from typing import TYPE_CHECKING

from benchmarks.soak.checks import Evacuation
from benchmarks.soak.deployment import EVACUATE_S, EVACUATION_PREFIX
from benchmarks.soak.http import ProtocolError
from benchmarks.soak.upstream import MODES

if TYPE_CHECKING:
    from benchmarks.soak.runner import Soak

__all__ = ["FAULTS", "Fault"]


# Hosts that planned work disturbs.
NO_HOST = frozenset({0})


class Fault(ABC):
    """One kind of fault.

    Parameters
    ----------
    name : str
        Name in reports.
    """

    def __init__(self, *, name: str) -> None:
        self.name = name

    @abstractmethod
    async def play(self, soak: "Soak") -> frozenset[int]:
        """Inject the fault until it ends; return the hosts that it touched."""


class NodeFault(Fault):
    """Signals to the node of one host; it is started again if they end it.

    Parameters
    ----------
    numbers : tuple of signal.Signals
        Signals in the order in which they are sent.
    max_pause_s : float
        Longest time after each signal, in seconds.
    """

    def __init__(
        self, *, name: str, numbers: tuple[signal.Signals, ...], max_pause_s: float
    ) -> None:
        super().__init__(name=name)
        self.numbers = numbers
        self.max_pause_s = max_pause_s

    async def play(self, soak: "Soak") -> frozenset[int]:
        """Send the signals to the node of a random host."""
        async with soak.reserve_host() as host:
            name = soak.get_node_name(host)
            for number in self.numbers:
                soak.signal(name, number)
                await asyncio.sleep(soak.random_source.uniform(0.05, self.max_pause_s))
            if {signal.SIGTERM, signal.SIGKILL} & set(self.numbers):
                await soak.restart_node(host)
        return frozenset({host.index})


class AllNodesFault(Fault):
    """Kill of all nodes at once."""

    async def play(self, soak: "Soak") -> frozenset[int]:
        """Kill all nodes and start them again."""
        async with soak.reserve_hosts(len(soak.hosts)):
            for host in soak.hosts:
                soak.signal(soak.get_node_name(host), signal.SIGKILL)
            await asyncio.sleep(soak.random_source.uniform(0.1, 1.0))
            for host in soak.hosts:
                await soak.restart_node(host)
        return frozenset()


class UpstreamFault(Fault):
    """Signals to the upstream of one host.

    Parameters
    ----------
    is_killed : bool
        Whether it is killed and replaced; otherwise it is paused.
    """

    def __init__(self, *, name: str, is_killed: bool) -> None:
        super().__init__(name=name)
        self.is_killed = is_killed

    async def play(self, soak: "Soak") -> frozenset[int]:
        """Kill or pause the upstream of a random host."""
        async with soak.reserve_host() as host:
            name = soak.get_upstream_name(host)
            soak.signal(name, signal.SIGKILL if self.is_killed else signal.SIGSTOP)
            await asyncio.sleep(soak.random_source.uniform(0.2, 3.0))
            if self.is_killed:
                await soak.replace_upstream(host)
            else:
                soak.signal(name, signal.SIGCONT)
        return frozenset({host.index})


class DrainFault(Fault):
    """Planned replacement of one upstream; not a disturbance of its host."""

    async def play(self, soak: "Soak") -> frozenset[int]:
        """Let an upstream leave and start another one after it has ended."""
        async with soak.reserve_host() as host:
            await soak.drain_upstream(host)
            await soak.replace_upstream(host)
        return NO_HOST


class ModeFault(Fault):
    """Share of the requests of some upstreams that fail in one way."""

    async def play(self, soak: "Soak") -> frozenset[int]:
        """Switch a mode on for a while."""
        n_hosts = soak.random_source.randint(1, len(soak.hosts))
        hosts = soak.random_source.sample(soak.hosts, n_hosts)
        share = soak.random_source.uniform(0.05, 1.0)
        for host in hosts:
            await soak.set_mode(host, self.name, share)
        await asyncio.sleep(soak.random_source.uniform(1.0, 4.0))
        for host in hosts:
            await soak.set_mode(host, "", 0.0)
        return frozenset(host.index for host in hosts)


class StoreFault(Fault):
    """Failure of the store for all nodes.

    Parameters
    ----------
    commands : tuple of str
        Commands of its control interface at the start and at the end.
    """

    def __init__(self, *, name: str, commands: tuple[str, ...]) -> None:
        super().__init__(name=name)
        self.commands = commands

    async def play(self, soak: "Soak") -> frozenset[int]:
        """Send the commands, with a pause between them."""
        for number, command in enumerate(self.commands):
            if number:
                await asyncio.sleep(soak.random_source.uniform(0.5, 4.0))
            with suppress(ProtocolError, OSError, TimeoutError):
                await soak.command_store(command)
        return frozenset()


class LinkFault(Fault):
    """Harm to the links of one host, to its peers or to the store.

    Parameters
    ----------
    changes : dict of str to object
        Attributes of the proxy while the fault lasts.
    is_reset : bool
        Whether the open connections are reset at its start.
    """

    def __init__(
        self, *, name: str, changes: dict[str, object], is_reset: bool = False
    ) -> None:
        super().__init__(name=name)
        self.changes = changes
        self.is_reset = is_reset

    async def play(self, soak: "Soak") -> frozenset[int]:
        """Change a random proxy of a random host for a while."""
        host = soak.random_source.choice(soak.hosts)
        proxy = soak.random_source.choice(soak.proxies[host.index])
        for name, value in self.changes.items():
            setattr(proxy, name, value)
        if self.is_reset:
            proxy.reset()
        await asyncio.sleep(soak.random_source.uniform(0.3, 4.0))
        proxy.restore()
        return frozenset({host.index})


class ConfigurationFault(Fault):
    """Series of configurations, each of which moves a route; planned work."""

    async def play(self, soak: "Soak") -> frozenset[int]:
        """Write some versions at random times."""
        for _ in range(soak.random_source.randint(1, 5)):
            await soak.write_configuration()
            await asyncio.sleep(soak.random_source.uniform(0.05, 0.5))
        return NO_HOST


class EvacuationFault(Fault):
    """Evacuation of a zone, whose upstreams are cold when it ends; planned work."""

    async def play(self, soak: "Soak") -> frozenset[int]:
        """Evacuate a random zone for longer than the bound, then let it return."""
        async with soak.reserve_zone() as zone:
            acknowledged_at = await soak.insist_on(f"put?key={EVACUATION_PREFIX}{zone}")
            await asyncio.sleep(EVACUATE_S + soak.random_source.uniform(1.0, 4.0))
            ended_at = time.monotonic()
            for host in soak.hosts:
                if host.zone == zone:
                    await soak.command_upstream(host, "cold")
            await soak.insist_on(f"remove?key={EVACUATION_PREFIX}{zone}")
        soak.evacuations.append(
            Evacuation(zone=zone, acknowledged_at=acknowledged_at, ended_at=ended_at)
        )
        return NO_HOST


class ColdReturnFault(Fault):
    """Kill of several upstreams at once, which come back cold."""

    async def play(self, soak: "Soak") -> frozenset[int]:
        """Kill upstreams and start others after a short time."""
        n_hosts = soak.random_source.randint(2, len(soak.hosts))
        async with soak.reserve_hosts(n_hosts) as hosts:
            for host in hosts:
                soak.signal(soak.get_upstream_name(host), signal.SIGKILL)
            await asyncio.sleep(soak.random_source.uniform(0.0, 1.0))
            for host in hosts:
                await soak.replace_upstream(host)
        return frozenset(host.index for host in hosts)


FAULTS: tuple[Fault, ...] = (
    NodeFault(name="node-kill", numbers=(signal.SIGKILL,), max_pause_s=2.0),
    NodeFault(name="node-stop", numbers=(signal.SIGTERM,), max_pause_s=0.5),
    NodeFault(
        name="node-stop-twice",
        numbers=(signal.SIGTERM, signal.SIGTERM),
        max_pause_s=1.0,
    ),
    NodeFault(
        name="node-stop-kill", numbers=(signal.SIGTERM, signal.SIGKILL), max_pause_s=3.0
    ),
    NodeFault(
        name="node-pause", numbers=(signal.SIGSTOP, signal.SIGCONT), max_pause_s=2.5
    ),
    NodeFault(name="node-reload", numbers=(signal.SIGHUP,) * 3, max_pause_s=0.3),
    AllNodesFault(name="all-nodes-kill"),
    UpstreamFault(name="upstream-kill", is_killed=True),
    UpstreamFault(name="upstream-pause", is_killed=False),
    DrainFault(name="drain"),
    *(ModeFault(name=mode) for mode in MODES),
    StoreFault(
        name="store-busy", commands=("status?status=503", "reset", "status?status=200")
    ),
    StoreFault(name="store-silent", commands=("hang?on=1", "hang?on=0", "reset")),
    StoreFault(name="store-compact", commands=("compact", "reset")),
    LinkFault(name="link-delay", changes={"delay_s": 0.1}),
    LinkFault(name="link-reset", changes={"is_refusing": True}, is_reset=True),
    LinkFault(
        name="link-silent", changes={"drops_requests": True, "drops_responses": True}
    ),
    LinkFault(name="link-one-way", changes={"drops_responses": True}),
    ConfigurationFault(name="configurations"),
    EvacuationFault(name="evacuation"),
    ColdReturnFault(name="cold-return"),
)
