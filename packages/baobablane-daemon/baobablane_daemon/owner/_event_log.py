"""Write the scheduler's events to the decision log."""

from collections.abc import Iterable

from baobablane.scheduling import SchedulingEvent

from ..decision_log import Decision, DecisionLog


def log_events(log: DecisionLog, events: Iterable[SchedulingEvent]) -> None:
    """Write one log line for each event."""
    for event in events:
        log.write(
            Decision(
                event.event,
                request=event.job,
                attempt=f"{event.task}#{event.run}" if event.task else "",
                upstream=event.upstream,
                reason=event.reason,
                seconds=event.age_seconds,
            )
        )
