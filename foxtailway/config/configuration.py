"""Configurations: the base file, overlays and secrets of one version."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from foxtailway.config.base_file import BaseFile, read_base_file
from foxtailway.config.finding import Defect, Finding, sort_findings
from foxtailway.config.overlay import Overlay, read_overlay
from foxtailway.config.overlay_check import CheckedOverlay, check_overlay
from foxtailway.model.bundle import (
    BASE_KEY,
    OVERLAY_PREFIX,
    SECRET_PREFIX,
    Document,
)
from foxtailway.model.snapshot import Secret

__all__ = ["Configuration", "read_configuration"]

# Largest secret that is accepted.
MAX_SECRET_BYTES = 4096
ALLOWED_KEYS = "base, overlay/SITE and secret/NAME"


@dataclass(frozen=True, slots=True, kw_only=True)
class Configuration:
    """A checked base file with all overlays and secrets.

    Parameters
    ----------
    base : BaseFile
        Base file.
    overlays : Mapping of str to Overlay
        Overlays by site (availability zone).
    overlay_checks : Mapping of str to CheckedOverlay
        Results of checking the overlays, by site; reused for the next version.
    secrets : Mapping of str to Secret
        Published secrets by name.
    findings : tuple of Finding
        Findings of all documents; the configuration is valid if there are none.
    """

    base: BaseFile
    overlays: Mapping[str, Overlay]
    overlay_checks: Mapping[str, CheckedOverlay]
    secrets: Mapping[str, Secret]
    findings: tuple[Finding, ...]


def read_configuration(
    documents: Iterable[Document],
    *,
    previous: Configuration | None,
    requires_secrets: bool = True,
) -> Configuration:
    """Read and check all documents of a version.

    Parameters
    ----------
    documents : iterable of Document
        Documents with the keys ``base``, ``overlay/SITE`` and ``secret/NAME``.
    previous : Configuration or None
        Previous version without findings, whose unchanged sections are reused.
    requires_secrets : bool, default=True
        Whether every secret that a service names must be among the documents.

    Returns
    -------
    Configuration
        Parsed documents with the findings of all of them.
    """
    base_document = Document(key=BASE_KEY, content=b"", digest=b"")
    overlays: dict[str, Overlay] = {}
    secrets: dict[str, Secret] = {}
    findings: list[Finding] = []
    for document in documents:
        name = document.key.partition("/")[2]
        if document.key == BASE_KEY:
            base_document = document
        elif document.key.startswith(OVERLAY_PREFIX):
            old = None if previous is None else previous.overlays.get(name)
            overlays[name] = read_overlay(document, site=name, previous=old)
        elif document.key.startswith(SECRET_PREFIX):
            findings += check_secret(document)
            secrets[name] = Secret(name=name, value=document.content)
        else:
            findings.append(
                make_document_finding(document, "the key is unknown", ALLOWED_KEYS)
            )
    base = read_base_file(
        base_document, previous=None if previous is None else previous.base
    )
    findings += base.findings
    overlay_checks: dict[str, CheckedOverlay] = {}
    for site, overlay in overlays.items():
        old_check = None if previous is None else previous.overlay_checks.get(site)
        overlay_checks[site] = check_overlay(overlay, base=base, previous=old_check)
        findings += overlay.findings
        findings += overlay_checks[site].findings
    if requires_secrets:
        findings += check_secret_references(base, secrets)
    return Configuration(
        base=base,
        overlays=overlays,
        overlay_checks=overlay_checks,
        secrets=secrets,
        findings=sort_findings(findings),
    )


def check_secret(document: Document) -> list[Finding]:
    """Return the findings about a secret.

    A finding contains no byte of the secret, since findings are logged.
    """
    content = document.content
    is_printable = content.isascii() and content.decode("latin-1").isprintable()
    if 0 < len(content) <= MAX_SECRET_BYTES and is_printable:
        return []
    return [
        make_document_finding(
            document,
            "the secret is empty, too long or not printable ASCII",
            f"1 to {MAX_SECRET_BYTES} printable ASCII characters",
        )
    ]


def check_secret_references(
    base: BaseFile, secrets: Mapping[str, Secret]
) -> list[Finding]:
    """Return a finding for each service whose secret is not published."""
    findings = []
    for located in base.services.values():
        entry = located.section.entries.get("secret")
        if entry is not None and entry.value not in secrets:
            findings.append(
                base.document.make_finding(
                    located,
                    key="secret",
                    problem="no secret is published under this name",
                    allowed="NAME of a published secret/NAME",
                )
            )
    return findings


def make_document_finding(document: Document, problem: str, allowed: str) -> Finding:
    """Return a finding about a whole document."""
    return Finding(
        source=document.key,
        line=1,
        section="",
        key="",
        defect=Defect(problem=problem, allowed=allowed),
    )
