"""The hosts of all availability zones and the live hosts of each service."""

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
    """The hosts of all availability zones.

    Parameters
    ----------
    tables : Mapping of str to HostTable
        Host lists by document key, in ascending order.
    hosts : dict of str to Host
        Hosts by identifier.
    live_by_service : dict of str to tuple of Host
        Live hosts by service, in the order of the host lists and their lines.
    """

    tables: Mapping[str, HostTable]
    hosts: dict[str, Host]
    live_by_service: dict[str, tuple[Host, ...]]


EMPTY_FLEET = Fleet(tables={}, hosts={}, live_by_service={})


def read_fleet(
    documents: Iterable[Document], *, previous: Fleet | None
) -> Result[Fleet, Failure]:
    """Read all host lists and reuse the hosts of unchanged ones.

    Parameters
    ----------
    documents : iterable of Document
        Documents with the keys ``hosts/ZONE`` in ascending order.
    previous : Fleet or None
        Previous version, whose unchanged parts are reused.

    Returns
    -------
    Result
        The fleet, or the failure of the first invalid host list; `previous` itself
        if no host list changed.
    """
    previous_fleet = previous or EMPTY_FLEET
    tables: dict[str, HostTable] = {}
    for document in documents:
        table = read_host_table(
            document, previous=previous_fleet.tables.get(document.key)
        )
        if table.is_error():
            return table
        tables[document.key] = table.ok
    changed_keys = list_changed_keys(previous_fleet.tables, tables)
    if not changed_keys and previous is not None:
        return Ok(previous)
    hosts = merge_hosts(previous_fleet, tables, changed_keys)
    if hosts.is_error():
        return hosts
    live_by_service = merge_live_hosts(previous_fleet, tables, changed_keys)
    return Ok(Fleet(tables=tables, hosts=hosts.ok, live_by_service=live_by_service))


def list_changed_keys(
    previous_tables: Mapping[str, HostTable], tables: Mapping[str, HostTable]
) -> list[str]:
    """Return the keys of added, changed and removed host lists."""
    return [
        key
        for key in sorted({*previous_tables, *tables})
        if previous_tables.get(key) is not tables.get(key)
    ]


def merge_hosts(
    previous_fleet: Fleet, tables: Mapping[str, HostTable], changed_keys: list[str]
) -> Result[dict[str, Host], Failure]:
    """Return all hosts by identifier, or a failure if two lists have the same host.

    Only the hosts of the changed lists are replaced.
    """
    hosts = previous_fleet.hosts.copy()
    for key in changed_keys:
        if key in previous_fleet.tables:
            for host in previous_fleet.tables[key].by_line.values():
                del hosts[host.host_id]
    repeated_ids: set[str] = set()
    for key in changed_keys:
        if key in tables:
            for host in tables[key].by_line.values():
                if hosts.setdefault(host.host_id, host) is not host:
                    repeated_ids.add(host.host_id)
    if repeated_ids:
        return Error(make_repetition_failure(min(repeated_ids)))
    return Ok(hosts)


def make_repetition_failure(host_id: str) -> Failure:
    """Return the failure of a host that is in the lists of several zones."""
    return Failure(
        step=Step.COMPILE,
        kind=FailureKind.INVALID,
        peer=host_id,
        detail="the host is listed in more than one availability zone",
    )


def merge_live_hosts(
    previous_fleet: Fleet, tables: Mapping[str, HostTable], changed_keys: list[str]
) -> dict[str, tuple[Host, ...]]:
    """Return the live hosts by service; only services that changed are rebuilt."""
    live_by_service = previous_fleet.live_by_service.copy()
    for service in list_changed_services(previous_fleet, tables, changed_keys):
        hosts: list[Host] = []
        for table in tables.values():
            hosts += table.live_by_service.get(service, ())
        if hosts:
            live_by_service[service] = tuple(hosts)
        else:
            live_by_service.pop(service, None)
    return live_by_service


def list_changed_services(
    previous_fleet: Fleet, tables: Mapping[str, HostTable], changed_keys: list[str]
) -> set[str]:
    """Return the services whose live hosts differ between two versions."""
    services: set[str] = set()
    for key in changed_keys:
        old = (
            previous_fleet.tables[key].live_by_service
            if key in previous_fleet.tables
            else {}
        )
        new = tables[key].live_by_service if key in tables else {}
        for service in {*old, *new}:
            if old.get(service) != new.get(service):
                services.add(service)
    return services


def restrict_fleet(fleet: Fleet, *, zones: Iterable[str]) -> Fleet:
    """Return a fleet without the hosts of zones that are not configured.

    Parameters
    ----------
    fleet : Fleet
        Hosts of all published lists.
    zones : iterable of str
        Availability zones of the base file.

    Returns
    -------
    Fleet
        Hosts of the given zones; `fleet` itself if all its zones are among them.
    """
    configured = set(zones)
    published = {key.partition("/")[2] for key in fleet.tables}
    if published <= configured:
        return fleet
    hosts = {
        host_id: host
        for host_id, host in fleet.hosts.items()
        if host.zone in configured
    }
    live_by_service = {
        service: tuple(host for host in group if host.zone in configured)
        for service, group in fleet.live_by_service.items()
    }
    return Fleet(
        tables=fleet.tables,
        hosts=hosts,
        live_by_service={
            name: group for name, group in live_by_service.items() if group
        },
    )
