"""Constraints between the values of one section."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from foxtailway.config.finding import Defect

__all__ = ["ConstraintViolation", "find_violations"]


@dataclass(frozen=True, slots=True, kw_only=True)
class ConstraintViolation:
    """A violated constraint between two keys.

    Parameters
    ----------
    key : str
        Key whose value is invalid.
    other_key : str
        Key that limits the value.
    defect : Defect
        What is wrong and what is allowed.
    """

    key: str
    other_key: str
    defect: Defect


def find_violations(kind: str, values: Mapping[str, Any]) -> list[ConstraintViolation]:
    """Return the violated constraints between the values of a section.

    Parameters
    ----------
    kind : str
        Kind of the section.
    values : Mapping of str to object
        Parsed values by key; a constraint on an absent key is not checked.

    Returns
    -------
    list of ConstraintViolation
        Violated constraints; empty for kinds without constraints.
    """
    if kind == "service":
        return check_service_constraints(values)
    if kind == "route":
        return check_route_constraints(values)
    return []


def check_service_constraints(values: Mapping[str, Any]) -> list[ConstraintViolation]:
    """Require that a service has at least as many connections as slots."""
    if not {"slots", "connections"} <= values.keys():
        return []
    if values["slots"] <= values["connections"]:
        return []
    defect = Defect(
        problem="there are more slots than connections",
        allowed="at most the service's connections",
    )
    return [ConstraintViolation(key="slots", other_key="connections", defect=defect)]


def check_route_constraints(values: Mapping[str, Any]) -> list[ConstraintViolation]:
    """Require that the idempotency window covers the timeout of a call.

    A repeated request is recognised only within the window. On a route that is not
    idempotent the window must therefore last as long as a call may run.
    """
    if not {"idempotent", "timeout", "idempotency_window"} <= values.keys():
        return []
    if values["idempotent"] or values["idempotency_window"] >= values["timeout"]:
        return []
    defect = Defect(
        problem="the window is shorter than the timeout",
        allowed="at least the timeout of a route that is not idempotent",
    )
    return [
        ConstraintViolation(
            key="idempotency_window", other_key="timeout", defect=defect
        )
    ]
