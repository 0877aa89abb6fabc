"""Configuration files named on the command line, and output of findings."""

import sys
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace
from pathlib import Path

from expression import Error, Ok, Result

from foxtailway.common.failure import Failure, FailureKind, Step
from foxtailway.config.configuration import Configuration, read_configuration
from foxtailway.config.finding import Finding
from foxtailway.config.sectioned_document import MAX_DOCUMENT_BYTES
from foxtailway.model.bundle import (
    BASE_KEY,
    OVERLAY_PREFIX,
    Document,
    make_document,
)

__all__ = [
    "ConfigurationFiles",
    "load_configuration",
    "print_error",
    "print_findings",
    "print_line",
]

BASE_FILE_NAME = "base.ini"
FILE_SUFFIX = ".ini"


@dataclass(frozen=True, slots=True, kw_only=True)
class ConfigurationFiles:
    """Configuration read from files, with its findings.

    Parameters
    ----------
    configuration : Configuration
        Validated configuration.
    findings : tuple of Finding
        All findings, with file names in place of document keys.
    """

    configuration: Configuration
    findings: tuple[Finding, ...]


def load_configuration(
    *, base: Path, overlays: Sequence[Path]
) -> Result[ConfigurationFiles, Failure]:
    """Read and validate a base file with its overlays.

    Secrets are not stored in files, so only the nodes check their presence.

    Parameters
    ----------
    base : Path
        Base file, or a directory with ``base.ini`` and one overlay per site.
    overlays : sequence of Path
        Overlays; the file name without ``.ini`` is the name of the site.

    Returns
    -------
    Result
        The configuration with its findings, or the failure to read a file.
    """
    paths = list_paths(base, overlays)
    if paths.is_error():
        return paths
    documents = []
    for key, path in paths.ok.items():
        document = read_file(key, path)
        if document.is_error():
            return document
        documents.append(document.ok)
    configuration = read_configuration(documents, previous=None, requires_secrets=False)
    return Ok(
        ConfigurationFiles(
            configuration=configuration,
            findings=tuple(
                replace(finding, source=str(paths.ok[finding.source]))
                for finding in configuration.findings
            ),
        )
    )


def list_paths(
    base: Path, overlays: Sequence[Path]
) -> Result[dict[str, Path], Failure]:
    """Return the path of each document by key; a failure if a site has two."""
    paths = {BASE_KEY: base}
    if base.is_dir():
        paths[BASE_KEY] = base / BASE_FILE_NAME
        found = sorted(base.glob(f"*{FILE_SUFFIX}"))
        overlays = [*[path for path in found if path.name != BASE_FILE_NAME], *overlays]
    for path in overlays:
        key = OVERLAY_PREFIX + path.name.removesuffix(FILE_SUFFIX)
        if key in paths:
            return Error(
                make_failure(path, f"the site already has the overlay {paths[key]}")
            )
        paths[key] = path
    return Ok(paths)


def read_file(key: str, path: Path) -> Result[Document, Failure]:
    """Return the content of one file as a document, or the failure to read it.

    At most one byte more than the limit of a document is read, which is
    enough for validation to find that the file is too large.
    """
    try:
        with path.open("rb") as stream:
            content = stream.read(MAX_DOCUMENT_BYTES + 1)
    except (OSError, ValueError) as error:
        reason = getattr(error, "strerror", None) or "the file cannot be read"
        return Error(make_failure(path, reason))
    return Ok(make_document(key=key, content=content))


def make_failure(path: Path, detail: str) -> Failure:
    """Return a failure to read a file."""
    return Failure(
        step=Step.CONFIG_PARSE,
        kind=FailureKind.INVALID,
        peer=str(path),
        detail=detail,
    )


def print_line(line: object) -> None:
    """Print a line and escape characters that the output encoding lacks."""
    encoding = sys.stdout.encoding or "utf-8"
    print(str(line).encode(encoding, "backslashreplace").decode(encoding))


def print_error(line: object) -> None:
    """Print a line about an error to standard error, in ASCII."""
    text = str(line).encode("ascii", "backslashreplace").decode()
    print(text, file=sys.stderr)


def print_findings(findings: Iterable[Finding]) -> None:
    """Print findings, one per line."""
    for finding in findings:
        print_line(finding)
