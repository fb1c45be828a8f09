"""Decide whether a start may be sent, and by when it must be carried out.

Load pattern: an operator evacuates a zone while its pools start hundreds of tasks a
second, possibly while the store can't be read. The bound runs from the store's
acknowledgement of the record, so an old view is as dangerous as a late order.
"""

import math
from collections.abc import Collection

# Starts end this long before a record that was not read yet can be in force: the time
# for the start's own record and call.
VIEW_MARGIN_SECONDS = 0.5


def start_window_seconds(
    zone: str,
    evacuated_zones: Collection[str],
    view_age_seconds: float,
    evacuation_seconds: float | None,
) -> float:
    """Return the time within which a start in a zone may still be carried out.

    It is 0 if the start must not be sent. `evacuation_seconds` is the platform's limit,
    or None where evacuation is not offered; then the age of the view does not count.
    """
    if zone in evacuated_zones:
        return 0.0
    if evacuation_seconds is None:
        return math.inf
    if view_age_seconds > evacuation_seconds - VIEW_MARGIN_SECONDS:
        return 0.0
    return evacuation_seconds - view_age_seconds
