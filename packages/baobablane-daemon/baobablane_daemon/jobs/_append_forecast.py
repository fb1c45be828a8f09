"""Predict how long the store takes to answer an append.

Load pattern: for some seconds, the store takes 60 times as long as usual, and all entry
instances append to the same partition. An append that is given up because its response
is late leaves the outcome unknown, and its repetition lengthens the queue. So appends
wait for their response for as long as the callers do, are repeated only while the
store is fast, and fewer are sent at the same time. A job that can't be stored while its
caller waits is rejected before anything is sent.
"""

from collections import deque

# A response usually takes about 10 ms, and a repeated record changes nothing. A
# connection that carries nothing any more shows only by the lack of a response.
MIN_REPEAT_DELAY_SECONDS = 0.25
# Responses vary by this factor while the store is slow.
REPEAT_DELAY_FACTOR = 4.0
# Callers wait for 3 s. The rest is for the way to the caller and back.
MAX_ACCEPT_SECONDS = 2.4
# Faults of the store last for seconds, so older response times tell little.
MEMORY_SECONDS = 3.0
# A store that answers within this time is fast: its usual time and a slow link.
FAST_SECONDS = 0.2
# A fast store answers well within this time.
OVERDUE_SECONDS = 0.5
MAX_APPENDS_IN_FLIGHT = 8
MAX_APPENDS_IN_FLIGHT_WHILE_SLOW = 2


class AppendForecast:
    """Hold the latest response times of appends; times are monotonic seconds."""

    def __init__(self) -> None:
        """Expect a fast store."""
        self._observed: deque[tuple[float, float]] = deque()
        self._timed_out_at = float("-inf")
        self._sent_at: dict[int, float] = {}
        self._next_number = 0

    def start(self, now: float) -> int:
        """Note that an append is sent, and return a number for it."""
        self._next_number += 1
        self._sent_at[self._next_number] = now
        return self._next_number

    def finish(self, number: int, is_answered: bool, now: float) -> None:
        """Note the response to an append, or that there was none in time."""
        seconds = now - self._sent_at.pop(number)
        self._observed.append((now, seconds))
        if not is_answered:
            self._timed_out_at = now

    def expected_seconds(self, now: float) -> float:
        """Return the longest time that a recent append took or is taking."""
        while self._observed and now - self._observed[0][0] > MEMORY_SECONDS:
            self._observed.popleft()
        finished = (seconds for _, seconds in self._observed)
        unanswered = (now - sent_at for sent_at in self._sent_at.values())
        return max(*finished, *unanswered, 0.0, 0.0)

    def repeat_delay(self, now: float) -> float:
        """Return how long to wait for a response before the append is repeated."""
        delay = REPEAT_DELAY_FACTOR * self.expected_seconds(now)
        return max(delay, MIN_REPEAT_DELAY_SECONDS)

    def max_in_flight(self, now: float) -> int:
        """Return how many appends may wait for a response at the same time."""
        if self.expected_seconds(now) <= FAST_SECONDS:
            return MAX_APPENDS_IN_FLIGHT
        return MAX_APPENDS_IN_FLIGHT_WHILE_SLOW

    def accept_seconds(self, now: float) -> float:
        """Return how long it probably takes to store a record that arrives now."""
        expected_seconds = self.expected_seconds(now)
        if len(self._sent_at) < self.max_in_flight(now):
            return expected_seconds
        # It is sent after the oldest append that waits for a response.
        oldest_age = now - min(self._sent_at.values())
        return expected_seconds + max(0.0, expected_seconds - oldest_age)

    def has_timed_out(self, now: float) -> bool:
        """Return whether a recent append had no response in time."""
        return now - self._timed_out_at < MEMORY_SECONDS or any(
            now - sent_at > OVERDUE_SECONDS for sent_at in self._sent_at.values()
        )
