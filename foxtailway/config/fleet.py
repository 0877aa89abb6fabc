"""All hosts of the mesh and the live ones of each service."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from expression import Error, Ok, Result

from foxtailway.common.failure import Failure, FailureKind, Step
from foxtailway.config.host_list import HostTable, read_host_table
from foxtailway.model.bundle import Document
from foxtailway.model.host import Host

__all__ = ["Fleet", "read_fleet", "restrict_fleet"]


@dataclass(frozen=True, slots=True, kw_only=True)
class Fleet:
    """Hold the host lists of all availability zones.

    Parameters
    ----------
    tables : Mapping of str to HostTable
        Host lists in ascending order of their keys.
    hosts : dict of str to Host
        Hosts by identifier.
    live : dict of str to tuple of Host
        Live hosts by service, in the order of zones and lines.
    """

    tables: Mapping[str, HostTable]
    hosts: dict[str, Host]
    live: dict[str, tuple[Host, ...]]


EMPTY_FLEET = Fleet(tables={}, hosts={}, live={})


def read_fleet(
    documents: Iterable[Document], *, previous: Fleet | None
) -> Result[Fleet, Failure]:
    """Read all host lists and rebuild only the services that changed.

    Parameters
    ----------
    documents : iterable of Document
        Documents with the keys ``hosts/ZONE`` in ascending order.
    previous : Fleet or None
        Earlier version, whose unchanged parts are reused.

    Returns
    -------
    Result
        The fleet, or the failure of the first bad host list.
    """
    earlier = previous or EMPTY_FLEET
    tables: dict[str, HostTable] = {}
    for document in documents:
        table = read_host_table(document, previous=earlier.tables.get(document.key))
        if table.is_error():
            return table
        tables[document.key] = table.ok
    changed = list_changed_keys(earlier.tables, tables)
    if not changed and previous is not None:
        return Ok(previous)
    hosts = merge_hosts(earlier, tables, changed)
    if hosts.is_error():
        return hosts
    live = merge_live(earlier, tables, changed)
    return Ok(Fleet(tables=tables, hosts=hosts.ok, live=live))


def list_changed_keys(
    earlier: Mapping[str, HostTable], tables: Mapping[str, HostTable]
) -> list[str]:
    """Return the keys of added, changed and removed host lists."""
    return [
        key
        for key in sorted({*earlier, *tables})
        if earlier.get(key) is not tables.get(key)
    ]


def merge_hosts(
    earlier: Fleet, tables: Mapping[str, HostTable], changed: list[str]
) -> Result[dict[str, Host], Failure]:
    """Replace the hosts of the changed lists."""
    hosts = earlier.hosts.copy()
    for key in changed:
        if key in earlier.tables:
            for host in earlier.tables[key].by_line.values():
                del hosts[host.host_id]
    repeated: set[str] = set()
    for key in changed:
        if key in tables:
            for host in tables[key].by_line.values():
                if hosts.setdefault(host.host_id, host) is not host:
                    repeated.add(host.host_id)
    if repeated:
        return Error(make_repetition_failure(min(repeated)))
    return Ok(hosts)


def make_repetition_failure(host_id: str) -> Failure:
    """Build the failure of a host that stands in several lists."""
    return Failure(
        step=Step.COMPILE,
        kind=FailureKind.INVALID,
        peer=host_id,
        detail="the host is listed in more than one availability zone",
    )


def merge_live(
    earlier: Fleet, tables: Mapping[str, HostTable], changed: list[str]
) -> dict[str, tuple[Host, ...]]:
    """Rebuild the live hosts of services that changed in any list."""
    live = earlier.live.copy()
    for service in list_changed_services(earlier, tables, changed):
        hosts: list[Host] = []
        for table in tables.values():
            hosts += table.live_by_service.get(service, ())
        if hosts:
            live[service] = tuple(hosts)
        else:
            live.pop(service, None)
    return live


def list_changed_services(
    earlier: Fleet, tables: Mapping[str, HostTable], changed: list[str]
) -> set[str]:
    """Return the services whose live hosts differ between two versions."""
    services: set[str] = set()
    for key in changed:
        old = earlier.tables[key].live_by_service if key in earlier.tables else {}
        new = tables[key].live_by_service if key in tables else {}
        for service in {*old, *new}:
            if old.get(service) != new.get(service):
                services.add(service)
    return services


def restrict_fleet(fleet: Fleet, *, zones: Iterable[str]) -> Fleet:
    """Leave out the hosts of availability zones that are not configured.

    Parameters
    ----------
    fleet : Fleet
        All published hosts.
    zones : iterable of str
        Availability zones of the base file.

    Returns
    -------
    Fleet
        The same fleet when every host's zone is known.
    """
    known = set(zones)
    listed = {key.partition("/")[2] for key in fleet.tables}
    if listed <= known:
        return fleet
    hosts = {
        host_id: host for host_id, host in fleet.hosts.items() if host.zone in known
    }
    live = {
        service: tuple(host for host in group if host.zone in known)
        for service, group in fleet.live.items()
    }
    return Fleet(
        tables=fleet.tables,
        hosts=hosts,
        live={name: group for name, group in live.items() if group},
    )
