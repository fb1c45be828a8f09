"""Choose an upstream for a request."""

from collections.abc import Callable, Sequence
from random import Random

from ._upstream import UpstreamState

# A local upstream is preferred unless its load exceeds a remote one's by more than
# this fraction of its slots.
ZONE_LOAD_MARGIN = 0.25
# Random draws before all upstreams are scanned.
MAX_DRAWS = 6


UpstreamFilter = Callable[[UpstreamState], bool]


def choose_upstream(
    upstreams: Sequence[UpstreamState],
    local_upstreams: Sequence[UpstreamState],
    is_usable: UpstreamFilter,
    random: Random,
) -> UpstreamState | None:
    """Return the less loaded of two random upstreams, preferably local, or None."""
    best = _less_loaded_of_two(upstreams, is_usable, random)
    local_best = _less_loaded_of_two(local_upstreams, is_usable, random)
    if local_best is None or best is None:
        return local_best or best
    return local_best if local_best.load <= best.load + ZONE_LOAD_MARGIN else best


def _less_loaded_of_two(
    upstreams: Sequence[UpstreamState], is_usable: UpstreamFilter, random: Random
) -> UpstreamState | None:
    found: UpstreamState | None = None
    count = len(upstreams)
    for _ in range(MAX_DRAWS if count else 0):
        drawn = upstreams[int(random.random() * count)]
        if drawn is found or not is_usable(drawn):
            continue
        if found is not None:
            return drawn if drawn.load < found.load else found
        found = drawn
    if found is not None:
        return found
    usable = [upstream for upstream in upstreams if is_usable(upstream)]
    return min(usable, key=_load_of, default=None)


def _load_of(upstream: UpstreamState) -> float:
    return upstream.load
