"""Write one JSON line for each routing and placement decision."""

import logging
import sys
from collections import deque
from dataclasses import asdict, dataclass

from pythonjsonlogger.json import JsonFormatter

EXPLAINABLE_DECISIONS = 10_000


@dataclass(frozen=True, slots=True)
class Decision:
    """Hold one decision as it is logged."""

    event: str
    request: str = ""
    attempt: str = ""
    team: str = ""
    queue: str = ""
    upstream: str = ""
    zone: str = ""
    reason: str = ""
    result: int = 0
    seconds: float = 0.0


class DecisionLog:
    """Hold the logger of this process and its latest decisions."""

    def __init__(self, instance: str) -> None:
        """Log to standard error."""
        handler = logging.StreamHandler(sys.stderr)
        handler.setFormatter(
            JsonFormatter(
                "%(message)s", timestamp=True, static_fields={"instance": instance}
            )
        )
        self._logger = logging.getLogger("baobablane")
        self._logger.handlers = [handler]
        self._logger.propagate = False
        self._logger.setLevel(logging.INFO)
        self._latest: deque[Decision] = deque(maxlen=EXPLAINABLE_DECISIONS)

    def write(self, decision: Decision) -> None:
        """Log a decision and keep it for `explain`."""
        self._latest.append(decision)
        self._logger.info(decision.event, extra=asdict(decision))

    def info(self, event: str, **fields: object) -> None:
        """Log something that is no decision."""
        self._logger.info(event, extra=fields)

    def explain(self, name: str) -> list[Decision]:
        """Return the latest decisions for a request or an upstream."""
        return [d for d in self._latest if name in (d.request, d.upstream)]
