"""Spread the returns of rejected jobs.

Load pattern: an account's rejected jobs come back once Retry-After has passed. If all
of them came at the same time, they would be rejected again together.
"""

import math
from hashlib import blake2b

DIGEST_BYTES = 8


def retry_slot_seconds(job_id: str, earliest: float, drained: float) -> int:
    """Return after how many whole seconds a job should come back.

    It is between `earliest`, when the job would no longer be rejected, and `drained`,
    when nothing is left that goes first. The slot depends on the job's id only.
    """
    first = max(1, math.ceil(earliest))
    last = max(first, math.ceil(drained))
    digest = blake2b(job_id.encode(), digest_size=DIGEST_BYTES).digest()
    return first + int.from_bytes(digest, "big") % (last - first + 1)
