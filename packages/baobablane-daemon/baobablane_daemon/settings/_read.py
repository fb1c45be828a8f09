"""Read the daemon's settings file."""

import tomllib
from pathlib import Path

from baobablane.errors import InputError, InputProblem
from baobablane.rules import find_line
from pydantic import ValidationError

from ._model import DaemonSettings


def read_settings(path: Path) -> DaemonSettings:
    """Return valid settings, or raise an InputError that lists every problem."""
    try:
        text = path.read_text(encoding="utf-8")
        return DaemonSettings.model_validate(tomllib.loads(text))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        problem = InputProblem(str(path), 1, "file", "", str(error))
        raise InputError([problem]) from error
    except ValidationError as error:
        problems = [
            InputProblem(
                str(path),
                find_line(text, violation["loc"]),
                ".".join(str(part) for part in violation["loc"]),
                _format_value(violation["loc"], violation["input"]),
                violation["msg"],
            )
            for violation in error.errors()
        ]
        raise InputError(problems) from error


def _format_value(location: tuple[int | str, ...], value: object) -> str:
    return "(hidden)" if "secret" in str(location[-1]) else str(value)[:80]
