"""The operators' generation, read without a full validation."""

from expression import Error, Ok, Result

from foxtailway.common.failure import Failure, FailureKind, Step
from foxtailway.config.section_parser import split_sections
from foxtailway.config.section_reader import BaseSectionReader
from foxtailway.model.bundle import BASE_KEY

__all__ = ["read_generation"]


def read_generation(content: bytes) -> Result[int, Failure]:
    r"""Return the generation that a base document states.

    Parameters
    ----------
    content : bytes
        Base document.

    Returns
    -------
    Result
        The generation; a failure when section ``mesh`` doesn't state one.

    Examples
    --------
    >>> read_generation(b"[mesh]\nname = pond\ngeneration = 3\n").ok
    3
    """
    text = content.decode(errors="replace")
    for part in split_sections(text):
        if not part.startswith("[mesh]"):
            continue
        entry = BaseSectionReader().read(part).entries.get("generation")
        if entry is not None:
            return Ok(entry.value)
    return Error(
        Failure(
            step=Step.CONFIG_PARSE,
            kind=FailureKind.INVALID,
            peer=BASE_KEY,
            detail="section mesh states no valid generation",
        )
    )
