"""Relations that the values of one section must keep to each other."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from foxtailway.config.finding import Defect

__all__ = ["Contradiction", "find_contradictions"]


@dataclass(frozen=True, slots=True, kw_only=True)
class Contradiction:
    """Name the key whose value contradicts another key.

    Parameters
    ----------
    key : str
        Key to be changed.
    other_key : str
        Key with which it conflicts.
    defect : Defect
        What is wrong and what is allowed.
    """

    key: str
    other_key: str
    defect: Defect


def find_contradictions(kind: str, values: Mapping[str, Any]) -> list[Contradiction]:
    """Return the broken relations between the values of a section.

    Parameters
    ----------
    kind : str
        Kind of the section.
    values : Mapping of str to object
        Typed values; absent keys are not judged.

    Returns
    -------
    list of Contradiction
        Broken relations, empty for sections without any.
    """
    if kind == "service":
        return check_service(values)
    if kind == "route":
        return check_route(values)
    return []


def check_service(values: Mapping[str, Any]) -> list[Contradiction]:
    """Require a connection for each slot."""
    if not {"slots", "connections"} <= values.keys():
        return []
    if values["slots"] <= values["connections"]:
        return []
    defect = Defect(
        problem="there are more slots than connections",
        allowed="at most the service's connections",
    )
    return [Contradiction(key="slots", other_key="connections", defect=defect)]


def check_route(values: Mapping[str, Any]) -> list[Contradiction]:
    """Require that repeats are recognised for as long as a call may run."""
    if not {"idempotent", "timeout", "idempotency_window"} <= values.keys():
        return []
    if values["idempotent"] or values["idempotency_window"] >= values["timeout"]:
        return []
    defect = Defect(
        problem="the window ends before a call may end",
        allowed="at least the timeout of a route that is not idempotent",
    )
    return [Contradiction(key="idempotency_window", other_key="timeout", defect=defect)]
