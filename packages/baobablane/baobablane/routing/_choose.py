"""Choose the upstream of a request."""

from collections.abc import Callable, Collection, Sequence
from random import Random

from ._upstream import UpstreamState

# A zone-local upstream is kept while its load exceeds a remote one's by less.
ZONE_LOAD_MARGIN = 0.25
SAMPLE_SIZE = 2


def choose_upstream(
    upstreams: Sequence[UpstreamState],
    zone: str,
    tried: Collection[str],
    is_usable: Callable[[UpstreamState], bool],
    random: Random,
) -> UpstreamState | None:
    """Return the lighter of two random upstreams, near ones first, or None."""
    usable = [u for u in upstreams if u.id not in tried and is_usable(u)]
    if not usable:
        return None
    local = [u for u in usable if u.zone == zone]
    best = _lighter_of_two(usable, random)
    if not local:
        return best
    near = _lighter_of_two(local, random)
    return near if near.load <= best.load + ZONE_LOAD_MARGIN else best


def _lighter_of_two(
    upstreams: Sequence[UpstreamState], random: Random
) -> UpstreamState:
    first = upstreams[int(random.random() * len(upstreams))]
    second = upstreams[int(random.random() * len(upstreams))]
    return second if second.load < first.load else first
