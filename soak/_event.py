"""Describe what a caller, an upstream or the platform saw."""

from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class Event:
    """Hold an event, its time in seconds since the start, and its fields."""

    at: float
    name: str
    fields: dict[str, Any]

    def __getitem__(self, field: str) -> Any:
        return self.fields[field]

    @property
    def job(self) -> str:
        """Return the id of the job that it is about, or an empty string."""
        task = self.fields.get("task", "")
        return str(self.fields.get("job") or task.partition(".")[0])
