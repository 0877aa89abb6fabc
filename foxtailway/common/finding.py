"""Findings of checks of settings and configurations."""

from dataclasses import dataclass

__all__ = ["Finding"]


@dataclass(frozen=True, slots=True, kw_only=True)
class Finding:
    """Tell what is wrong at one place of a file.

    Parameters
    ----------
    source : str
        Name of the file or key.
    line : int
        Line number, counted from 1.
    section : str
        Section; empty when the finding concerns the whole file.
    key : str
        Key; empty when the finding concerns the whole section.
    detail : str
        What is wrong and what is allowed; never holds a secret.

    Examples
    --------
    >>> finding = Finding(
    ...     source="node.ini", line=3, section="listen", key="mesh_port",
    ...     detail="'x' is not a port; allowed is 1 to 65535",
    ... )
    >>> str(finding)
    "node.ini:3: listen.mesh_port: 'x' is not a port; allowed is 1 to 65535"
    """

    source: str
    line: int
    section: str
    key: str
    detail: str

    def __str__(self) -> str:
        """Return ``FILE:LINE: section.key: detail``."""
        place = ".".join(part for part in (self.section, self.key) if part)
        if not place:
            return f"{self.source}:{self.line}: {self.detail}"
        return f"{self.source}:{self.line}: {place}: {self.detail}"
