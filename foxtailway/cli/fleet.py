"""Comparison of the status of many nodes."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from expression import Result

from foxtailway.cli.admin_client import AdminAddress
from foxtailway.cli.node_report import NodeReport, ReportedVersion
from foxtailway.common.failure import Failure

__all__ = ["NodeFinding", "compare_nodes", "find_newest"]

# Age of the last confirmation above which a node gets a remark.
STALE_AFTER_S = 60.0


@dataclass(frozen=True, slots=True, kw_only=True)
class NodeFinding:
    """Status of one node with the problems found in it.

    Parameters
    ----------
    address : str
        Admin port that was requested.
    report : NodeReport or None
        Status of the node; None if it did not respond.
    is_behind : bool
        Whether the node lacks the newest configuration in force on any node.
    problems : tuple of str
        Problems that need action by an operator.
    remarks : tuple of str
        Further information that needs no action.
    """

    address: str
    report: NodeReport | None
    is_behind: bool
    problems: tuple[str, ...]
    remarks: tuple[str, ...]


def find_newest(reports: Iterable[NodeReport]) -> ReportedVersion | None:
    """Return the newest configuration version in force on any node, or None."""
    versions = [
        report.config_version for report in reports if report.config_version is not None
    ]
    return max(versions, key=lambda version: version.sort_key, default=None)


def compare_nodes(
    addresses: Sequence[AdminAddress],
    results: Sequence[Result[NodeReport, Failure]],
) -> tuple[NodeFinding, ...]:
    """Compare the status of nodes with the newest configuration among them.

    Parameters
    ----------
    addresses : sequence of AdminAddress
        Admin ports that were requested.
    results : sequence of Result
        Status or failure of each node, in the order of `addresses`.

    Returns
    -------
    tuple of NodeFinding
        One finding per address, in the same order.
    """
    reports = [result.ok for result in results if result.is_ok()]
    newest = find_newest(reports)
    findings = []
    for address, result in zip(addresses, results, strict=True):
        if result.is_ok():
            findings.append(assess_node(str(address), result.ok, newest))
            continue
        problem = f"{result.error.kind.value}: {result.error.detail}"
        findings.append(
            NodeFinding(
                address=str(address),
                report=None,
                is_behind=False,
                problems=(problem,),
                remarks=(),
            )
        )
    return tuple(findings)


def assess_node(
    address: str, report: NodeReport, newest: ReportedVersion | None
) -> NodeFinding:
    """Return the finding about a node that responded."""
    problems = []
    is_behind = newest is not None and not newest.is_satisfied_by(report.config_version)
    if report.config_version is None:
        problems.append("no configuration in force")
    elif is_behind and report.config_version.sort_key == newest.sort_key:
        problems.append(f"differs from {newest} under the same number")
    elif is_behind:
        problems.append(f"behind {newest}: {describe_lag(report, newest)}")
    if report.is_stopping:
        problems.append("stopping")
    elif not report.is_ready:
        problems.append("not ready")
    return NodeFinding(
        address=address,
        report=report,
        is_behind=is_behind,
        problems=tuple(problems),
        remarks=list_remarks(report),
    )


def describe_lag(report: NodeReport, newest: ReportedVersion) -> str:
    """Return the likely reason why a node lacks the newest configuration."""
    rejection = report.last_rejection
    if rejection is not None and rejection.version.sort_key >= newest.sort_key:
        return f"rejected {rejection.version}"
    if report.parent is None:
        return "has no parent"
    if report.confirmed_age_s is None:
        return f"never confirmed through {report.parent}"
    age_s = report.confirmed_age_s
    return f"last confirmed {age_s:.1f} s ago through {report.parent}"


def list_remarks(report: NodeReport) -> tuple[str, ...]:
    """Return remarks on a node that are no problems."""
    remarks = []
    if report.withdrawn_routes:
        remarks.append(f"withdrawn routes: {', '.join(report.withdrawn_routes)}")
    if report.confirmed_age_s is not None and report.confirmed_age_s > STALE_AFTER_S:
        remarks.append("not confirmed by the platform for over a minute")
    rejection = report.last_rejection
    if rejection is not None:
        remarks.append(f"last rejected {rejection.version}: {rejection.reason}")
    return tuple(remarks)
