"""Print results as tables, as JSON or as progress messages."""

import json
import sys
from collections.abc import Mapping, Sequence

Cell = str | int | float


def print_table(header: Sequence[str], rows: Sequence[Sequence[Cell]]) -> None:
    """Print a header and rows in aligned columns."""
    table = [list(header), *([str(cell) for cell in row] for row in rows)]
    widths = [max(len(row[column]) for row in table) for column in range(len(header))]
    for row in table:
        cells = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        print("  ".join(cells).rstrip())


def print_json(value: Mapping[str, object] | Sequence[object]) -> None:
    """Print a value as indented JSON."""
    print(json.dumps(value, indent=2))


def print_progress(text: str) -> None:
    """Print a progress message to standard error, apart from the result."""
    print(text, file=sys.stderr, flush=True)
