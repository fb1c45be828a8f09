"""Start urgent work first without starving the rest."""

from ..config import QueueClass
from ..shares import DecayedUsage

FLOOR_DECAY_SECONDS = 10.0


class ClassFloor:
    """Hold the service that each class of queues received on a pool."""

    def __init__(self, floor: float) -> None:
        """Keep at least the part `floor` of service for work that is not urgent."""
        if not 0 <= floor < 1:
            raise ValueError(f"floor must be at least 0 and below 1, not {floor}")
        self._floor = floor
        self._accounts = DecayedUsage(FLOOR_DECAY_SECONDS)

    def charge(self, queue_class: QueueClass, slot_seconds: float, now: float) -> None:
        """Add slot-seconds to a class."""
        self._accounts.charge(queue_class.value, slot_seconds, now)

    def order(self) -> tuple[QueueClass, QueueClass]:
        """Return the classes in the order in which they start."""
        normal = self._accounts.usage(QueueClass.NORMAL.value)
        if normal < self._floor * self._accounts.total():
            return QueueClass.NORMAL, QueueClass.URGENT
        return QueueClass.URGENT, QueueClass.NORMAL
