"""Tell whether the store can be used, from what it last sent."""

from ._append_forecast import MAX_ACCEPT_SECONDS, AppendForecast
from ._clock import boot_seconds
from ._view_limits import MAX_SILENCE_SECONDS
from ._views import Views

# Replaces MAX_SILENCE_SECONDS once an append had no response in time: a read usually
# takes 0.7 s at most.
MAX_SILENCE_AFTER_TIMEOUT_SECONDS = 0.9


def store_silence(views: Views) -> float:
    """Return the seconds since a followed topic last brought data, the longest.

    Readiness and acceptance use the same figure, so an instance that isn't ready stores
    no jobs.
    """
    return max(views.operator_tail.silence(), views.jobs_tail.silence())


def find_store_fault(views: Views, forecast: AppendForecast) -> str:
    """Return why a record can't be stored in time, or an empty string if it can."""
    now = boot_seconds()
    max_silence_seconds = (
        MAX_SILENCE_AFTER_TIMEOUT_SECONDS
        if forecast.has_timed_out(now)
        else MAX_SILENCE_SECONDS
    )
    if store_silence(views) > max_silence_seconds:
        return "the store is unreachable"
    seconds = forecast.accept_seconds(now)
    if seconds > MAX_ACCEPT_SECONDS:
        return f"the store would take {seconds:.1f} s to accept it"
    return ""
