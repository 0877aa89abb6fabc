"""Whole configurations: base file, overlays and secrets checked together."""

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

MAX_SECRET_BYTES = 4096
ALLOWED_KEYS = "base, overlay/SITE and secret/NAME"


@dataclass(frozen=True, slots=True, kw_only=True)
class Configuration:
    """Hold a checked base file with all overlays and secrets.

    Parameters
    ----------
    base : BaseFile
        Base file.
    overlays : Mapping of str to Overlay
        Overlays by site.
    checks : Mapping of str to CheckedOverlay
        Checks of the overlays by site, for reuse with the next version.
    secrets : Mapping of str to Secret
        Published secrets by name.
    findings : tuple of Finding
        All defects; the configuration is valid when there are none.
    """

    base: BaseFile
    overlays: Mapping[str, Overlay]
    checks: Mapping[str, CheckedOverlay]
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
        Earlier version, whose unchanged sections are reused.
    requires_secrets : bool, default=True
        Whether named secrets must be among the documents.

    Returns
    -------
    Configuration
        Typed sections and all findings at once.
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
            known = None if previous is None else previous.overlays.get(name)
            overlays[name] = read_overlay(document, site=name, previous=known)
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
    checks: dict[str, CheckedOverlay] = {}
    for site, overlay in overlays.items():
        known = None if previous is None else previous.checks.get(site)
        checks[site] = check_overlay(overlay, base=base, previous=known)
        findings += overlay.findings
        findings += checks[site].findings
    if requires_secrets:
        findings += check_secret_references(base, secrets)
    return Configuration(
        base=base,
        overlays=overlays,
        checks=checks,
        secrets=secrets,
        findings=sort_findings(findings),
    )


def check_secret(document: Document) -> list[Finding]:
    """Check a secret without repeating any of its bytes."""
    content = document.content
    is_printable = content.isascii() and content.decode("latin-1").isprintable()
    if 0 < len(content) <= MAX_SECRET_BYTES and is_printable:
        return []
    return [
        make_document_finding(
            document,
            "the secret is empty, too long or holds other characters",
            f"1 to {MAX_SECRET_BYTES} printable ASCII characters",
        )
    ]


def check_secret_references(
    base: BaseFile, secrets: Mapping[str, Secret]
) -> list[Finding]:
    """Report services that name an absent secret."""
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
    """Build a finding about a document as a whole."""
    return Finding(
        source=document.key,
        line=1,
        section="",
        key="",
        defect=Defect(problem=problem, allowed=allowed),
    )
