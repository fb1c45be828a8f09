"""Decide when a job is resumed after an error."""

from dataclasses import dataclass

# The first wait after an error. Each further error doubles it, up to the maximum.
FIRST_RETRY_SECONDS = 1.0
MAX_RETRY_SECONDS = 60.0
# A job without an error for this long starts with the first wait again.
CALM_SECONDS = 2 * MAX_RETRY_SECONDS


@dataclass(slots=True)
class JobRetry:
    """Hold how often a job was set apart, and when it was last resumed."""

    errors: int = 0
    resumed_at: float | None = None
    # Whether the log tells that work on it goes on.
    is_logged: bool = False

    def begin_wait(self, now: float) -> float:
        """Count an error, and return when the job is to be resumed."""
        if self.resumed_at is not None and now - self.resumed_at >= CALM_SECONDS:
            self.errors = 0
        # The exponent is bounded: an error may repeat for years.
        doublings = min(self.errors, 16)
        self.errors += 1
        return now + min(FIRST_RETRY_SECONDS * 2.0**doublings, MAX_RETRY_SECONDS)

    def is_news(self, now: float) -> bool:
        """Return whether the resumed job has had no error for a while.

        It is then to be logged, unless that was done.
        """
        if self.resumed_at is None or self.is_logged:
            return False
        return now - self.resumed_at >= FIRST_RETRY_SECONDS

    def resume(self, now: float) -> None:
        """Note that work on the job begins again."""
        self.resumed_at, self.is_logged = now, False
