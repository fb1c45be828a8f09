"""Cut lines of JSON to the size that a pipe takes at once."""

import json
from collections.abc import Mapping

# A pipe takes PIPE_BUF bytes at once if it is writable. The newline is among them.
MAX_LINE_BYTES = 4_096
# Longest texts and numbers of items that are tried in turn.
_TEXT_CHARACTERS = (1_024, 256, 64, 16)
_LIST_ITEMS = (64, 16, 8, 2)
MAX_FIELDS = 64
# Stands for what was cut out of a text.
_OMISSION = "\N{HORIZONTAL ELLIPSIS}"


def bound_line(line: bytes) -> bytes:
    """Return a JSON object, given and returned without newline, cut to fit a line.

    One that is cut has its original size in bytes as `line_bytes`, its first fields,
    and both ends of its texts.
    """
    if len(line) < MAX_LINE_BYTES:
        return line
    fields: dict[str, object] = json.loads(line)
    for max_characters, max_items in zip(_TEXT_CHARACTERS, _LIST_ITEMS, strict=True):
        cut = _cut_fields(fields, max_characters, max_items)
        encoded = json.dumps(cut | {"line_bytes": len(line)}).encode()
        if len(encoded) < MAX_LINE_BYTES:
            return encoded
    # Sixteen characters of an event take 192 bytes at the most.
    event = _cut_text(str(fields.get("event", "")), _TEXT_CHARACTERS[-1])
    return json.dumps({"event": event, "line_bytes": len(line)}).encode()


def _cut_fields(
    fields: Mapping[str, object], max_characters: int, max_items: int
) -> dict[str, object]:
    return {
        _cut_text(name, max_characters): _cut_value(value, max_characters, max_items)
        for name, value in list(fields.items())[:MAX_FIELDS]
    }


def _cut_value(value: object, max_characters: int, max_items: int) -> object:
    if isinstance(value, str):
        return _cut_text(value, max_characters)
    if isinstance(value, list):
        items = value[:max_items]
        return [_cut_value(item, max_characters, max_items) for item in items]
    if isinstance(value, dict) or (isinstance(value, int) and value.bit_length() > 64):
        return _cut_text(json.dumps(value), max_characters)
    return value


def _cut_text(text: str, max_characters: int) -> str:
    if len(text) <= max_characters:
        return text
    half = max_characters // 2
    return f"{text[:half]}{_OMISSION}{text[-half:]}"
