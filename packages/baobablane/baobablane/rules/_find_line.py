"""Find the line of a field in a TOML text."""

import re
from collections.abc import Sequence

TABLE_HEADER = re.compile(r"^\s*\[\[?\s*([A-Za-z0-9_.-]+)\s*\]\]?\s*(#.*)?$")


def find_line(text: str, path: Sequence[str | int]) -> int:
    """Return the line, from 1, of a field or else of its table's header.

    `path` holds the table's name, its index in an array of tables, and the field's
    name; further parts are ignored. Return 1 if the header isn't found.
    """
    names = [part for part in path if isinstance(part, str)]
    indexes = [part for part in path if isinstance(part, int)]
    start = _find_header(text, names, indexes)
    if len(names) < 2:
        return start
    return _find_key(text, start, names) or start


def _find_header(text: str, names: Sequence[str], indexes: Sequence[int]) -> int:
    if not names:
        return 1
    target_index = indexes[0] if indexes else 0
    table_index = -1
    for number, line in enumerate(text.splitlines(), start=1):
        match = TABLE_HEADER.match(line)
        if match is None or match.group(1) != names[0]:
            continue
        table_index += 1
        if table_index == target_index:
            return number
    return 1


def _find_key(text: str, start: int, names: Sequence[str]) -> int | None:
    lines = text.splitlines()
    pattern = re.compile(rf"^\s*{re.escape(names[1])}\s*=")
    for number in range(start + 1, len(lines) + 1):
        line = lines[number - 1]
        if TABLE_HEADER.match(line):
            return None
        if pattern.match(line):
            return number
    return None
