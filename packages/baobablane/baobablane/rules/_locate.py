"""Find the line of a field in a TOML file."""

import re
from collections.abc import Sequence

HEADER = re.compile(r"^\s*\[\[?\s*([A-Za-z0-9_.-]+)\s*\]\]?\s*(#.*)?$")


def locate(text: str, path: Sequence[str | int]) -> int:
    """Return the line, from 1, that holds a field, or its table's header."""
    names = [part for part in path if isinstance(part, str)]
    indexes = [part for part in path if isinstance(part, int)]
    start = _find_header(text, names, indexes)
    if len(names) < 2:
        return start
    return _find_key(text, start, names) or start


def _find_header(text: str, names: Sequence[str], indexes: Sequence[int]) -> int:
    if not names:
        return 1
    wanted = indexes[0] if indexes else 0
    seen = -1
    for number, line in enumerate(text.splitlines(), start=1):
        match = HEADER.match(line)
        if match is None or match.group(1) != names[0]:
            continue
        seen += 1
        if seen == wanted:
            return number
    return 1


def _find_key(text: str, start: int, names: Sequence[str]) -> int | None:
    lines = text.splitlines()
    pattern = re.compile(rf"^\s*{re.escape(names[1])}\s*=")
    for number in range(start + 1, len(lines) + 1):
        line = lines[number - 1]
        if HEADER.match(line):
            return None
        if pattern.match(line):
            return number
    return None
