"""Formatting of text tables."""

from collections.abc import Sequence

__all__ = ["format_table"]

COLUMN_SEPARATOR = "  "


def format_table(
    columns: Sequence[str], rows: Sequence[Sequence[str]]
) -> tuple[str, ...]:
    """Return the lines of a table with aligned columns, the header first.

    Examples
    --------
    >>> format_table(("HOST", "ZONE"), [("a", "accra-a")])
    ('HOST  ZONE', 'a     accra-a')
    """
    lines = [
        tuple(columns),
        *(tuple(replace_unprintable(cell) for cell in row) for row in rows),
    ]
    widths = [max(len(line[index]) for line in lines) for index in range(len(columns))]
    return tuple(
        COLUMN_SEPARATOR.join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def replace_unprintable(cell: str) -> str:
    """Return a cell with each unprintable character replaced by a space."""
    return "".join(char if char.isprintable() else " " for char in cell)
