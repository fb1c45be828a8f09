"""Prefer urgent requests without starving normal ones."""

from ..config import QueueClass
from ..shares import DecayedUsage

# Time constant of the exponential decay of the service received.
SERVICE_DECAY_SECONDS = 10.0


class ClassFloor:
    """Order the queue classes of a pool by the service that each has received."""

    def __init__(self, floor: float) -> None:
        """Reserve at least the fraction `floor` of the service for normal requests.

        Raise ValueError unless `floor` is at least 0 and below 1.
        """
        if not 0 <= floor < 1:
            raise ValueError(f"floor must be at least 0 and below 1, not {floor}")
        self._floor = floor
        self._usage = DecayedUsage(SERVICE_DECAY_SECONDS)

    def charge(self, queue_class: QueueClass, slot_seconds: float, now: float) -> None:
        """Charge slot-seconds of service to a class; `now` is in seconds."""
        self._usage.charge(queue_class.value, slot_seconds, now)

    def start_order(self) -> tuple[QueueClass, QueueClass]:
        """Return the classes in the order in which their requests should start."""
        normal = self._usage.usage(QueueClass.NORMAL.value)
        if normal < self._floor * self._usage.total():
            return QueueClass.NORMAL, QueueClass.URGENT
        return QueueClass.URGENT, QueueClass.NORMAL
