"""Subnets of the loopback network for deployments that run at the same time."""

import socket
from collections.abc import Iterator
from contextlib import contextmanager

from foxtailway.testing.deployment import N_SUBNET_REGIONS

__all__ = ["claim_subnet"]

# Subnets that can be claimed; 1 and 2 belong to the example deployments.
SUBNETS = range(3, 13)
# Port whose bound socket marks a subnet as in use.
CLAIM_PORT = 5_999


@contextmanager
def claim_subnet() -> Iterator[int]:
    """Reserve a subnet that no other process on this machine has reserved.

    Yields
    ------
    int
        Subnet for `plan_deployment`; released when the context exits.

    Raises
    ------
    OSError
        If all subnets are in use.
    """
    for subnet in SUBNETS:
        with socket.socket() as claim_socket:
            try:
                claim_socket.bind((f"127.{subnet * N_SUBNET_REGIONS}.0.1", CLAIM_PORT))
            except OSError:
                continue
            yield subnet
            return
    raise OSError(f"all loopback subnets in {SUBNETS} are in use")
