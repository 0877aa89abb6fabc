"""Parsing of host lists; each availability zone has one document."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from socket import AF_INET, AF_INET6, inet_pton

import orjson
from expression import Error, Ok, Result

from foxtailway.common.failure import Failure, FailureKind, Step
from foxtailway.config.sectioned_document import MAX_DOCUMENT_BYTES
from foxtailway.model.bundle import HOSTS_PREFIX, Document
from foxtailway.model.host import Host, HostState

__all__ = ["HostTable", "parse_host_list", "read_host_table"]

# Fields of a line: host_id, address, mesh_port, service and state.
N_HOST_FIELDS = 5
MAX_PORT = 65535
MAX_NAME_CHARS = 63
STATES = {state.value: state for state in HostState}
ALLOWED_LINE = '["host_id","address",mesh_port,"service","live" or "leaving"]'


@dataclass(frozen=True, slots=True, kw_only=True)
class HostTable:
    """The hosts of one availability zone.

    Parameters
    ----------
    key : str
        Key of the document.
    digest : bytes
        Digest of the content.
    by_line : Mapping of bytes to Host
        Hosts by their line of the document, in the order of the document.
    live_by_service : Mapping of str to tuple of Host
        Live hosts of each service, in the order of the document.
    """

    key: str
    digest: bytes
    by_line: Mapping[bytes, Host]
    live_by_service: Mapping[str, tuple[Host, ...]]


def parse_host_list(document: Document) -> Result[tuple[Host, ...], Failure]:
    """Parse the host list of one availability zone.

    Parameters
    ----------
    document : Document
        Document with the key ``hosts/ZONE``; each line is one JSON array
        ``["host_id","address",mesh_port,"service","live"|"leaving"]``.

    Returns
    -------
    Result
        Hosts in the order of the lines, or a failure that names the invalid line.

    Examples
    --------
    >>> from foxtailway.model.bundle import make_document
    >>> line = b'["h1","10.0.0.1",7000,"payments","live"]'
    >>> hosts = parse_host_list(make_document(key="hosts/accra-a", content=line)).ok
    >>> hosts[0].zone
    'accra-a'
    """
    table = read_host_table(document, previous=None)
    return table.map(lambda read: tuple(read.by_line.values()))


def read_host_table(
    document: Document, *, previous: HostTable | None
) -> Result[HostTable, Failure]:
    """Parse a host list and reuse the hosts of unchanged lines.

    Parameters
    ----------
    document : Document
        Document with the key ``hosts/ZONE``.
    previous : HostTable or None
        Previous version of the same document.

    Returns
    -------
    Result
        Hosts by line, or a failure that names the invalid line; `previous` itself
        if the content is the same.
    """
    if previous is not None and previous.digest == document.digest:
        return Ok(previous)
    if not document.key.startswith(HOSTS_PREFIX):
        return Error(make_failure(document, "the key is not hosts/ZONE"))
    if len(document.content) > MAX_DOCUMENT_BYTES:
        return Error(make_failure(document, f"more than {MAX_DOCUMENT_BYTES} bytes"))
    zone = document.key.removeprefix(HOSTS_PREFIX)
    previous_hosts = {} if previous is None else previous.by_line
    by_line: dict[bytes, Host] = {}
    host_ids: set[str] = set()
    for number, line in enumerate(document.content.split(b"\n"), start=1):
        if not line:
            continue
        host = previous_hosts.get(line) or parse_host_line(line, zone)
        if host is None:
            return Error(make_failure(document, f"line {number} is not {ALLOWED_LINE}"))
        if host.host_id in host_ids:
            detail = f"line {number} repeats host '{host.host_id}'"
            return Error(make_failure(document, detail))
        host_ids.add(host.host_id)
        by_line[line] = host
    return Ok(
        HostTable(
            key=document.key,
            digest=document.digest,
            by_line=by_line,
            live_by_service=group_live_hosts(by_line.values()),
        )
    )


def group_live_hosts(hosts: Iterable[Host]) -> dict[str, tuple[Host, ...]]:
    """Return the live hosts by service, in the given order."""
    groups: dict[str, list[Host]] = {}
    for host in hosts:
        if host.state is HostState.LIVE:
            groups.setdefault(host.service, []).append(host)
    return {service: tuple(group) for service, group in groups.items()}


def parse_host_line(line: bytes, zone: str) -> Host | None:
    """Return the host that a line describes, or None if the line is invalid."""
    try:
        fields = orjson.loads(line)
    except orjson.JSONDecodeError:
        return None
    if not isinstance(fields, list) or len(fields) != N_HOST_FIELDS:
        return None
    host_id, address, mesh_port, service, state = fields
    if not (
        is_valid_name(host_id) and is_valid_name(service) and is_ip_address(address)
    ):
        return None
    if type(mesh_port) is not int or not 0 < mesh_port <= MAX_PORT:
        return None
    if not isinstance(state, str) or state not in STATES:
        return None
    return Host(
        host_id=host_id,
        address=address,
        mesh_port=mesh_port,
        zone=zone,
        service=service,
        state=STATES[state],
    )


def is_valid_name(value: object) -> bool:
    """Return whether a field is a valid host identifier or service name."""
    return (
        isinstance(value, str)
        and 0 < len(value) <= MAX_NAME_CHARS
        and value.isascii()
        and value.isprintable()
    )


def is_ip_address(value: object) -> bool:
    """Return whether a field is an IPv4 or IPv6 address."""
    if not isinstance(value, str):
        return False
    try:
        inet_pton(AF_INET6 if ":" in value else AF_INET, value)
    except (OSError, ValueError):
        return False
    return True


def make_failure(document: Document, detail: str) -> Failure:
    """Return the failure of an invalid host list."""
    return Failure(
        step=Step.CONFIG_PARSE,
        kind=FailureKind.INVALID,
        peer=document.key,
        detail=detail,
    )
