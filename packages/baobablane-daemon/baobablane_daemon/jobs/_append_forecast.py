"""Predict how long the store takes to answer an append, and when to repeat one.

Load pattern: for some seconds, the store takes 60 times as long as usual, and all entry
instances append to the same partition. An append that is given up because its response
is late leaves the outcome unknown, and its repetition lengthens the queue. So appends
wait for their response for as long as the callers do, are repeated only when they are
overdue against the recent responses, and fewer are sent at the same time. A job that
can't be stored while its caller waits is rejected before anything is sent.

Load pattern: for some seconds, the store loses a third of the responses, or carries the
appends out seconds later, and answers the others as fast as ever. A partition takes its
appends one after the other. So an append that one sent later has overtaken is lost, and
tells nothing of the time that the store takes.
"""

from collections import deque

# A response usually takes about 10 ms, and a repeated record changes nothing. A
# connection that carries nothing any more shows only by the lack of a response.
MIN_REPEAT_DELAY_SECONDS = 0.25
# Responses vary by this factor while the store is slow.
REPEAT_DELAY_FACTOR = 4.0
# Repetitions of all instances stand in one queue, so their intervals grow fast: an
# append is sent at once, after 0.25 s and after 1 s.
AGE_FACTOR = 3.0
# In a partition with one writer, only its own appends are ahead of a repetition.
MIN_ONLY_WRITER_DELAY_SECONDS = 0.13
ONLY_WRITER_DELAY_FACTOR = 2.0
# The intervals grow in proportion to the time without a response, to nine attempts in
# the first 1.2 s. After a silence, little is left of the ownership, so that a long
# interval would outlast it.
ONLY_WRITER_AGE_SHARE = 1 / 8
MAX_ONLY_WRITER_DELAY_SECONDS = 0.2
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

    def __init__(self, is_only_writer: bool = False) -> None:
        """Expect a fast store.

        `is_only_writer` says that no other process appends to the partition.
        """
        self.is_only_writer = is_only_writer
        self._observed: deque[tuple[float, float]] = deque()
        self._timed_out_at = float("-inf")
        self._sent_at: dict[int, float] = {}
        # When the newest append that has a response was sent.
        self._answered_sent_at = float("-inf")
        self._next_number = 0

    def start(self, now: float) -> int:
        """Note that an append is sent, and return a number for it."""
        self._next_number += 1
        self._sent_at[self._next_number] = now
        return self._next_number

    def finish(self, number: int, is_answered: bool, now: float) -> None:
        """Note the response to an append, or that there was none in time."""
        sent_at = self._sent_at.pop(number)
        if is_answered:
            self._answered_sent_at = max(self._answered_sent_at, sent_at)
        else:
            self._timed_out_at = now
            # With only its own appends in line, an append without a response is lost:
            # the store rejects what would wait for as long.
            if self.is_only_writer or sent_at < self._answered_sent_at:
                return
        self._observed.append((now, now - sent_at))

    def give_up(self, number: int) -> None:
        """Note that nobody waits for the response to an append any more."""
        del self._sent_at[number]

    def expected_seconds(self, now: float) -> float:
        """Return the longest time that a recent append took or is taking."""
        return max(self._observed_seconds(now), self._unanswered_seconds(now, now))

    def repeat_delay(self, now: float, age: float = 0.0) -> float:
        """Return how long to wait for a response before the append is repeated.

        `age` is the time since its first attempt was sent.
        """
        if self.is_only_writer:
            return max(
                ONLY_WRITER_DELAY_FACTOR * self._observed_seconds(now),
                min(ONLY_WRITER_AGE_SHARE * age, MAX_ONLY_WRITER_DELAY_SECONDS),
                MIN_ONLY_WRITER_DELAY_SECONDS,
            )
        return max(
            REPEAT_DELAY_FACTOR * self._observed_seconds(now),
            REPEAT_DELAY_FACTOR * self._unanswered_seconds(now, now - age),
            AGE_FACTOR * age,
            MIN_REPEAT_DELAY_SECONDS,
        )

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

    def _observed_seconds(self, now: float) -> float:
        while self._observed and now - self._observed[0][0] > MEMORY_SECONDS:
            self._observed.popleft()
        return max((seconds for _, seconds in self._observed), default=0.0)

    def _unanswered_seconds(self, now: float, before: float) -> float:
        """Return the age of the oldest open append that none has overtaken.

        Only those count that were sent until `before`.
        """
        return max(
            (
                now - sent_at
                for sent_at in self._sent_at.values()
                if self._answered_sent_at <= sent_at <= before
            ),
            default=0.0,
        )
