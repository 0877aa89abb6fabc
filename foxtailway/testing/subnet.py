"""Subnets of the loopback network for deployments that run side by side."""

import socket
from collections.abc import Iterator
from contextlib import contextmanager

from foxtailway.testing.deployment import N_SUBNET_REGIONS

__all__ = ["claim_subnet"]

SUBNETS = range(3, 13)
CLAIM_PORT = 5_999


@contextmanager
def claim_subnet() -> Iterator[int]:
    """Take a subnet that no other process on this machine has taken.

    Yields
    ------
    int
        Subnet for `plan_deployment`, free again when the context ends.

    Raises
    ------
    OSError
        If all subnets are taken.
    """
    for subnet in SUBNETS:
        with socket.socket() as claim:
            try:
                claim.bind((f"127.{subnet * N_SUBNET_REGIONS}.0.1", CLAIM_PORT))
            except OSError:
                continue
            yield subnet
            return
    raise OSError(f"subnets {SUBNETS} are all in use")
