"""Check afterwards whether rejected jobs would have been in time.

Load pattern: the same as that of the rejections. The check needs no record of its own:
the owner publishes how much work each pool has done.
"""

from collections import deque

from ._load_summary import LoadSummary
from ._rejection import MAX_LOAD_AGE_SECONDS, Rejection

# More rejections than an entry instance makes until the first of them are checked.
MAX_PENDING = 10_000


class RejectionAudit:
    """Hold the latest rejections until it is known what became of their pool."""

    def __init__(self) -> None:
        """Start without rejections."""
        self._pending: deque[tuple[float, Rejection]] = deque(maxlen=MAX_PENDING)

    def add(self, rejection: Rejection, now: float) -> None:
        """Add a rejection that is made now; times are in seconds of one clock."""
        due_at = now + rejection.latest_start_seconds
        self._pending.append((due_at, rejection))

    def settle(
        self, summary: LoadSummary, age_seconds: float, now: float
    ) -> list[bool]:
        """Return for each rejection that is now checked whether it was wrong.

        It was if what went before the job was done by the latest time at which the job
        could start to be in time. It is unknown, and left out, if a new owner has begun
        to count or the summary is old.
        """
        verdicts: list[bool] = []
        waiting: list[tuple[float, Rejection]] = []
        for due_at, rejection in self._pending:
            load = summary.pools_by_name.get(rejection.pool)
            if load is None:
                verdicts.append(now <= due_at)
            elif now < due_at:
                waiting.append((due_at, rejection))
            elif (
                age_seconds < MAX_LOAD_AGE_SECONDS
                and load.drained >= rejection.pool_drained
            ):
                done = load.drained - rejection.pool_drained
                verdicts.append(done >= rejection.ahead_core_seconds)
        self._pending.clear()
        self._pending.extend(waiting)
        return verdicts
