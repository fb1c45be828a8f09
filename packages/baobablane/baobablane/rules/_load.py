"""Load configuration entries from a rules file and an asset register."""

import tomllib
from pathlib import Path

from pydantic import ValidationError

from ..config import (
    Entry,
    Key,
    Pool,
    Queue,
    Service,
    Settings,
    Team,
    entry_key,
    find_missing_references,
)
from ..errors import InputError, InputProblem
from ..register import read_register
from ._find_line import find_line
from ._model import RulesModel, TeamModel


def load_entries(rules_path: Path, register_path: Path) -> list[Entry]:
    """Return all entries, or raise an InputError that lists the problems of both files.

    If the rules file is invalid or a file is unreadable, the register is not checked.
    """
    problems: list[InputProblem] = []
    text = _read_file(rules_path, problems)
    rules = _parse_rules(rules_path, text, problems)
    register_text = _read_file(register_path, problems)
    if rules is None or problems:
        raise InputError(problems)
    columns = rules.register_columns.model_dump()
    instances = read_register(str(register_path), register_text, columns, problems)
    entries_with_sources: list[tuple[Entry, str, int]] = [
        (entry, str(rules_path), line) for entry, line in _rule_entries(rules, text)
    ]
    entries_with_sources += [
        (entry, str(register_path), line) for entry, line in instances
    ]
    problems += _find_duplicates(entries_with_sources)
    problems += _find_missing_references(entries_with_sources)
    if problems:
        raise InputError(problems)
    return [entry for entry, _, _ in entries_with_sources]


def _read_file(path: Path, problems: list[InputProblem]) -> str:
    try:
        return path.read_text(encoding="utf-8-sig")
    except (OSError, UnicodeDecodeError) as error:
        problems.append(InputProblem(str(path), 0, "file", "", str(error)))
        return ""


def _parse_rules(
    path: Path, text: str, problems: list[InputProblem]
) -> RulesModel | None:
    try:
        return RulesModel.model_validate(tomllib.loads(text))
    except tomllib.TOMLDecodeError as error:
        # Only the message has the line: "... (at line 3, column 5)". Other messages end
        # with "(at end of document)".
        digits = "".join(
            c for c in str(error).partition("line ")[2] if c.isdigit() or c == ","
        )
        line = int(digits.split(",")[0] or 0)
        problems.append(InputProblem(str(path), line, "syntax", "", str(error)))
    except ValidationError as error:
        for detail in error.errors():
            problems.append(
                InputProblem(
                    str(path),
                    find_line(text, detail["loc"]),
                    ".".join(str(part) for part in detail["loc"]),
                    str(detail["input"])[:80],
                    detail["msg"],
                )
            )
    return None


def _rule_entries(rules: RulesModel, text: str) -> list[tuple[Entry, int]]:
    deployment = rules.deployment
    settings = Settings(**deployment.model_dump())
    entries_with_lines: list[tuple[Entry, int]] = [
        (settings, find_line(text, ["deployment"]))
    ]
    for index, pool in enumerate(rules.pools):
        entry = Pool(pool.name, pool.teams, pool.spare)
        entries_with_lines.append((entry, find_line(text, ["pools", index])))
    for index, service in enumerate(rules.services):
        entry_service = Service(**service.model_dump())
        entries_with_lines.append((entry_service, find_line(text, ["services", index])))
    for index, queue in enumerate(rules.queues):
        entry_queue = Queue(**queue.model_dump())
        entries_with_lines.append((entry_queue, find_line(text, ["queues", index])))
    for index, team in enumerate(rules.teams):
        line = find_line(text, ["teams", index])
        entries_with_lines += [(entry, line) for entry in _team_entries(team)]
    return entries_with_lines


def _team_entries(team: TeamModel) -> list[Entry]:
    entries: list[Entry] = [Team(team.name, team.share, team.limit)]
    entries += [Key(key.id, team.name, key.salt, key.digest) for key in team.keys]
    return entries


def _find_duplicates(
    entries_with_sources: list[tuple[Entry, str, int]],
) -> list[InputProblem]:
    lines_by_key: dict[str, int] = {}
    problems: list[InputProblem] = []
    for entry, file, line in entries_with_sources:
        key = entry_key(entry)
        if key in lines_by_key:
            reason = f"already defined at line {lines_by_key[key]}"
            problems.append(InputProblem(file, line, key, key, reason))
        lines_by_key.setdefault(key, line)
    return problems


def _find_missing_references(
    entries_with_sources: list[tuple[Entry, str, int]],
) -> list[InputProblem]:
    locations_by_key = {
        entry_key(entry): (file, line) for entry, file, line in entries_with_sources
    }
    entries = {entry_key(entry): entry for entry, _, _ in entries_with_sources}
    problems: list[InputProblem] = []
    for problem_text in find_missing_references(entries):
        # The reason reads "names KEY, which does not exist".
        key, _, reason = problem_text.partition(" ")
        file, line = locations_by_key[key]
        problems.append(
            InputProblem(file, line, key, reason.split()[1].rstrip(","), reason)
        )
    return problems
