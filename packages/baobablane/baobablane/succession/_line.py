"""Order the instances that may become the next owner.

Load pattern: all instances find out at the same time that the owner is lost. The claims
of nine of them stand in one line of the store, and the records of the one that succeeds
stand behind the others.
"""

from collections.abc import Iterable
from zlib import crc32

# Only this many instances watch the owner directly, so that the owner's messages don't
# grow with the deployment. The others rely on the owner's heartbeats in the store.
MAX_WATCHERS = 3
# A claim usually takes 30 ms until the others have read it.
RANK_DELAY_SECONDS = 0.1


def line_of_succession(
    candidates: Iterable[str], owner: str, epoch: int
) -> tuple[str, ...]:
    """Return the instances that watch an owner, the first successor first.

    `owner` is the instance of the owner, which is left out, and `epoch` that of its
    ownership. All instances that know the same candidates compute the same line.
    """
    others = sorted(
        (crc32(f"{epoch}/{instance}".encode()), instance)
        for instance in set(candidates)
        if instance != owner
    )
    return tuple(instance for _, instance in others[:MAX_WATCHERS])
