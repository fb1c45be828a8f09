"""Define the waiting work of one client account in one pool."""

import msgspec


class AccountLoad(msgspec.Struct, frozen=True, array_like=True):
    """Hold the waiting work of an account's jobs of one priority, in core-seconds."""

    account: str
    # Of the jobs' queue; 0 is the most urgent.
    priority: int
    # 0.0 within the account's share of the pool, and more the further beyond.
    standing: float
    # Of jobs that can still meet their objective.
    in_time: float
    # Of jobs that can't, but whose results are still of use.
    late: float
    # Number of these jobs.
    jobs: int
