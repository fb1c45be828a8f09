"""Decide whether an owner is lost before its heartbeats in the store time out.

Load pattern: in the peak of a burst, the owner is killed, freezes, or is the one that
the store turns away. Until another instance is the owner, nothing is placed, and most
jobs of these seconds are late.

The store remains the only judge: a suspicion lets an instance claim the ownership
sooner, and the claim succeeds only if nothing was recorded since the claimer last read.
While the store is slow or away for all, a change of owner costs more than it gains, so
the claimer has to read the store first, and the suspicion has to hold after that. Once
the store is back, the owner gets as much time again to show itself.
"""

from enum import Enum

from ._owner_signs import OwnerSigns

# A heartbeat is read within this time after it was sent, while the store is well.
READ_DELAY_SECONDS = 0.5
# A process that lives accepts a new connection sooner than this after a reset.
RECONNECT_SECONDS = 0.1
# Several writes in a row are rejected within this time. Once the store is back, a write
# is stored and reported sooner.
MIN_FAILING_SECONDS = 0.2
# A store that rejects a part of the calls of all instances rejects one of a watcher's
# reads within this time.
MIN_STORE_WELL_SECONDS = 1.0
# Older messages don't show whether writes still fail.
MAX_MESSAGE_AGE_SECONDS = 0.3
# The owner's heartbeats confirm it every 0.4 s.
MIN_UNCONFIRMED_SECONDS = 0.65
# The owner sends a direct message every 0.1 s.
MIN_SILENCE_SECONDS = 0.6
# An owner that has just begun reads and places everything before it sends more.
MIN_MESSAGES = 20
# A busy owner sends its messages at longer intervals.
GAP_FACTOR = 3.0


class Suspicion(Enum):
    """Name the sign by which an owner is suspected to be lost."""

    DISCONNECTED = "its process accepts no connections"
    REJECTED = "the store rejects its writes"
    CUT_OFF = "its heartbeats are not stored"
    SILENT = "it sends nothing"


def find_suspicion(signs: OwnerSigns) -> Suspicion | None:
    """Return why an owner is suspected to be lost, or None if it isn't."""
    if _is_disconnected(signs):
        return Suspicion.DISCONNECTED
    has_recent_message = signs.message_age <= MAX_MESSAGE_AGE_SECONDS
    if has_recent_message and _is_rejected(signs):
        return Suspicion.REJECTED
    if signs.message_count < MIN_MESSAGES:
        return None
    if has_recent_message and _is_cut_off(signs):
        return Suspicion.CUT_OFF
    if _is_silent(signs):
        return Suspicion.SILENT
    return None


def _is_disconnected(signs: OwnerSigns) -> bool:
    # A heartbeat that was read after that may have been sent before.
    return (
        signs.disconnected_for is not None
        and signs.disconnected_for >= RECONNECT_SECONDS
        and signs.heartbeat_age + READ_DELAY_SECONDS >= signs.disconnected_for
        and signs.message_age >= signs.disconnected_for
    )


def _is_rejected(signs: OwnerSigns) -> bool:
    return (
        signs.writes_failing_for >= MIN_FAILING_SECONDS
        and signs.store_well_for >= MIN_STORE_WELL_SECONDS
    )


def _is_cut_off(signs: OwnerSigns) -> bool:
    seconds = min(signs.unconfirmed_for, signs.heartbeat_age, signs.store_well_for)
    # The first message after a long round is sent before the record is stored.
    patience = max(MIN_UNCONFIRMED_SECONDS, GAP_FACTOR * signs.longest_message_gap)
    return seconds >= patience


def _is_silent(signs: OwnerSigns) -> bool:
    patience = max(MIN_SILENCE_SECONDS, GAP_FACTOR * signs.longest_message_gap)
    return (
        signs.message_age >= patience
        and min(signs.heartbeat_age, signs.store_well_for) >= MIN_SILENCE_SECONDS
    )
