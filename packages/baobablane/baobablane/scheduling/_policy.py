"""Define the time limits and thresholds of the scheduler."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SchedulingPolicy:
    """Hold the scheduler's time limits, in seconds, and its stall thresholds."""

    # No start is sent for this long to an upstream that rejected one because it was
    # full, overloaded or unavailable, or could not parse it. A stopped task may take
    # about this long to free its resources.
    start_backoff_seconds: float = 0.3
    # After an upstream has been unreachable for this long, copies of its tasks that
    # may run twice start elsewhere. By then, a new owner has received the reports of
    # all other upstreams.
    speculation_delay_seconds: float = 0.3
    # A stop is repeated at this interval until its run is known to have ended: twice
    # the slowest round trip on undisturbed links.
    stop_retry_seconds: float = 0.6
    # A run without progress for this long counts as stalled. Progress is reported in
    # hundredths of a run, and a run takes a few seconds at most.
    stall_seconds: float = 2.0
    # If a run's declared time is long, the limit is this fraction of it instead: the
    # time in which the reported progress should grow by three hundredths.
    stall_fraction: float = 0.03
    # After this many stalls, the task itself counts as slow, and its later runs are not
    # stopped.
    max_stalls: int = 2
    # A long-running task that is not ready this long after its start counts as stalled;
    # a normal start-up takes well under a second.
    lasting_start_seconds: float = 3.5
    # Bound on the leases of an upstream that has not reported to this owner yet, from
    # the takeover on. The previous owner may have granted some for 7 s from its last
    # heartbeat, which was stored before the claim; then they have to expire on a slow
    # clock.
    unknown_lease_seconds: float = 7.65
    # The longest lease that an upstream grants, on its own clock.
    max_lease_seconds: float = 10.0
    # How long a new owner keeps an upstream that is recorded as running tasks but has
    # no entry. It may be silent to the store only, and run on under leases of the
    # previous owner. Entries are back 2 s after an outage of the store.
    unlisted_grace_seconds: float = 7.5
    # The same if it is known that no lease is left: entries that expired during an
    # outage of the store are back within 2 s.
    entry_return_seconds: float = 2.5
    # An order without a response may be carried out up to this long after it was sent,
    # even by the upstream's next incarnation.
    late_order_seconds: float = 13.0
    # Whether a full pool is divided between client accounts by their weights. Without
    # it, the standing of every account is 0.0.
    divides_by_account: bool = True
