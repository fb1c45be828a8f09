"""Describe what an instance knows of the owner."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class OwnerSigns:
    """Hold the ages of an owner's signs of life, in seconds.

    Direct messages are those that the owner sends to its watchers without the store.
    """

    # For how long this instance has read the store without a gap or a failed read.
    store_well_for: float
    # Since the owner's latest heartbeat was read from the store.
    heartbeat_age: float
    # Since the latest direct message; infinite before the first.
    message_age: float
    # Direct messages received so far.
    message_count: int
    # The longest time between two recent direct messages.
    longest_message_gap: float
    # Since the connection for direct messages was lost; None while there is one, and
    # before the first.
    disconnected_for: float | None
    # Since the store last confirmed the owner, as far as its messages tell; zero if
    # that is unknown.
    unconfirmed_for: float
    # For how long all of the owner's writes have failed, by its latest message.
    writes_failing_for: float
