"""Write the scheduler's events to the decision log."""

from collections.abc import Iterable
from dataclasses import asdict

from baobablane.scheduling import CRASH_EVENT, SchedulingEvent

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
                incarnation=event.incarnation,
                beside=event.beside,
                core_seconds=event.core_seconds,
                team=event.account,
                queue=event.queue,
                group=event.group,
                position=event.position,
                predicted_ms=event.predicted_ms,
                outcome=event.outcome,
                wait=asdict(event.wait) if event.wait else None,
            )
        )
        if event.outcome:
            log.metrics.count_outcome(event.queue, event.outcome)
        if event.event == CRASH_EVENT:
            log.metrics.count_crash(event.reason, event.core_seconds)
