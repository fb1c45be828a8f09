"""Read the CSV export of an asset register."""

import csv
import io
from collections.abc import Mapping

from pydantic import ValidationError

from ..config import Instance
from ..errors import InputProblem
from ._row import RegisterRow


def read_register(
    file: str,
    text: str,
    columns_by_field: Mapping[str, str],
    problems: list[InputProblem],
) -> list[tuple[Instance, int]]:
    """Return the valid instances with their line numbers.

    `columns_by_field` maps fields to column names; fields with an empty name are left
    out. Every invalid value and missing column is added to `problems`; if a column is
    missing, no instance is returned.
    """
    reader = csv.DictReader(io.StringIO(text))
    header = reader.fieldnames or []
    columns = {field: column for field, column in columns_by_field.items() if column}
    missing = [column for column in columns.values() if column not in header]
    if missing:
        found = ",".join(header)[:80]
        problems.extend(
            InputProblem(file, 1, column, found, "the register has no such column")
            for column in missing
        )
        return []
    instances: list[tuple[Instance, int]] = []
    for row in reader:
        instance = _read_row(file, reader.line_num, row, columns, problems)
        if instance is not None:
            instances.append((instance, reader.line_num))
    return instances


def _read_row(
    file: str,
    line: int,
    row: Mapping[str, str],
    columns: Mapping[str, str],
    problems: list[InputProblem],
) -> Instance | None:
    fields = {field: row[column] for field, column in columns.items()}
    try:
        validated = RegisterRow.model_validate(fields)
    except ValidationError as error:
        for detail in error.errors():
            name = str(detail["loc"][0])
            column = columns.get(name, name)
            value = str(detail["input"])[:80]
            problems.append(InputProblem(file, line, column, value, detail["msg"]))
        return None
    return Instance(**{**validated.model_dump(), "host": str(validated.host)})
