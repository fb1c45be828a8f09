"""Hold the times by which the scheduler judges upstreams and tasks."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SchedulingPolicy:
    """Hold the scheduler's times in seconds."""

    # A start refused for room is not repeated on that upstream for this long, about
    # the time that a stopped task may take to free its room.
    room_backoff_seconds: float = 0.3
    # An upstream that is silent for this long may be lost, and tasks that may run twice
    # start elsewhere: a new owner has heard all others by then.
    speculation_delay_seconds: float = 0.3
    # An order without an answer is sent again after this long: twice the slowest
    # round trip seen on calm links.
    order_retry_seconds: float = 0.6
    # A run whose progress stands still for this long is taken to hang; progress comes
    # in hundredths of a run of at most some seconds.
    stall_seconds: float = 2.0
    # The same for long tasks, as a part of the declared time: three hundredths.
    stall_fraction: float = 0.03
    # A task that stood still on so many upstreams is taken to be slow by itself.
    max_stalls: int = 2
    # A lasting task that is not at work for this long after its start is hanging; a
    # sound start-up takes well under a second.
    lasting_start_seconds: float = 3.5
    # A new owner has not heard an upstream yet. The previous owner may have renewed its
    # leases for 4 s unconfirmed, of which 1.8 s had passed before the store named a new
    # one; then a lease of 4.5 s on a slow clock runs out.
    unknown_lease_seconds: float = 7.5
    # A recorded upstream that has no entry when an owner takes over: entries are back
    # 2 s after an outage of the store, and a lease is over after 5.1 s.
    unlisted_grace_seconds: float = 5.2
    # Orders without an answer may be carried out this long after they were sent, also
    # by the upstream's next incarnation.
    late_order_seconds: float = 13.0
