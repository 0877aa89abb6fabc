"""Rendezvous hashing, by which all nodes choose the same hosts for a key."""

from collections.abc import Iterable

from xxhash import xxh3_64_intdigest

from foxtailway.model.host import Host

__all__ = ["choose_host", "choose_hosts", "rank_names"]


def choose_host(key: str, hosts: Iterable[Host]) -> Host | None:
    """Return the host that ranks first for a key, or None without hosts.

    Removing another host does not change the result; adding a host changes it
    only if the new host ranks first.
    """
    seed = xxh3_64_intdigest(key.encode())
    return max(
        hosts,
        key=lambda host: xxh3_64_intdigest(host.host_id.encode(), seed),
        default=None,
    )


def choose_hosts(key: str, hosts: Iterable[Host], n_hosts: int) -> tuple[Host, ...]:
    """Return the `n_hosts` hosts that rank first for a key, in rank order."""
    by_name = {host.host_id: host for host in hosts}
    return tuple(by_name[name] for name in rank_names(key, by_name)[:n_hosts])


def rank_names(key: str, names: Iterable[str]) -> tuple[str, ...]:
    """Return the names in their rank order for a key, highest rank first."""
    seed = xxh3_64_intdigest(key.encode())
    return tuple(
        sorted(
            names, key=lambda name: xxh3_64_intdigest(name.encode(), seed), reverse=True
        )
    )
