"""Keep the ownership of a stopping process until another one can take it over.

Load pattern: all instances are stopped one after the other, faster than they come back.
Each of them still accepts jobs for some seconds, so somebody has to place them. Nobody
would start again what is lost with an upstream until the first one is back.
"""

import asyncio
from collections.abc import Callable

from ..jobs import boot_seconds
from ._ownership import Ownership

CHECK_INTERVAL_SECONDS = 0.05
# Others that stop at the same moment have told so by then, and a claim that was on its
# way is answered: one that is stored and forgotten would keep others from claiming.
SETTLE_SECONDS = 0.2


async def keep_until_succeeded(
    ownership: Ownership,
    has_successor: Callable[[], bool],
    seconds: float,
    owner_seconds: float,
) -> None:
    """Return once another instance can be the owner.

    That is after `seconds` at the latest, or `owner_seconds` with the ownership, so
    that other instances that stop are back first. Without it, claim it only if nobody
    else is left.
    """
    began_at = now = boot_seconds()
    give_up_at = began_at + seconds
    while now < give_up_at or (
        ownership.epoch is not None and now < began_at + owner_seconds
    ):
        is_last = now >= began_at + SETTLE_SECONDS and not has_successor()
        if ownership.epoch is None:
            ownership.allow_claims(is_last and now < give_up_at - SETTLE_SECONDS)
        elif not is_last and now >= began_at + SETTLE_SECONDS:
            return
        await asyncio.sleep(CHECK_INTERVAL_SECONDS)
        now = boot_seconds()
