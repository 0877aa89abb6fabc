"""Reading of the generation of a base file without a full validation."""

from expression import Error, Ok, Result

from foxtailway.common.failure import Failure, FailureKind, Step
from foxtailway.config.section_reader import BaseSectionReader
from foxtailway.model.bundle import BASE_KEY

__all__ = ["read_generation"]

MESH_HEADER = b"[mesh]"


def read_generation(content: bytes) -> Result[int, Failure]:
    r"""Return the generation stated in a base file.

    Parameters
    ----------
    content : bytes
        Content of the base file.

    Returns
    -------
    Result
        The generation, or a failure if the section ``mesh`` is missing or its key
        ``generation`` is missing or invalid.

    Examples
    --------
    >>> read_generation(b"[mesh]\nname = pond\ngeneration = 3\n").ok
    3
    """
    start = (
        0 if content.startswith(MESH_HEADER) else content.find(b"\n" + MESH_HEADER) + 1
    )
    if content.startswith(MESH_HEADER, start):
        end = content.find(b"\n[", start)
        text = content[start : end if end >= 0 else None].decode(errors="replace")
        entry = BaseSectionReader().read(text).entries.get("generation")
        if entry is not None:
            return Ok(entry.value)
    return Error(
        Failure(
            step=Step.CONFIG_PARSE,
            kind=FailureKind.INVALID,
            peer=BASE_KEY,
            detail="section mesh has no valid generation",
        )
    )
