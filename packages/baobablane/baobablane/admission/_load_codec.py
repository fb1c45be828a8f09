"""Encode and decode the load record.

Load pattern: while pools are backlogged, every entry instance reads the record twice a
second, also over links of 10 Mbit/s, so its size is bounded.
"""

import msgspec

from ._load_summary import LoadSummary
from ._pool_load import PoolLoad

MAX_LOAD_RECORD_BYTES = 4_096
# More digits would not change a decision.
DECIMALS = 2


def encode_load(summary: LoadSummary) -> bytes:
    """Return the load record, without the accounts that exceed its maximum size.

    Accounts within their share are left out first, then those with the least work. An
    account that is left out is not rejected.
    """
    pools = {name: _rounded(pool) for name, pool in summary.pools_by_name.items()}
    record = _encode(summary, pools)
    if len(record) <= MAX_LOAD_RECORD_BYTES:
        return record
    kept = sorted(
        ((name, row) for name, pool in pools.items() for row in pool.accounts),
        key=lambda item: (item[1].standing > 0, item[1].in_time + item[1].late),
    )
    while kept and len(record) > MAX_LOAD_RECORD_BYTES:
        excess_bytes = len(record) - MAX_LOAD_RECORD_BYTES
        while kept and excess_bytes > 0:
            name, row = kept.pop(0)
            excess_bytes -= len(msgspec.json.encode(row))
            accounts = tuple(r for r in pools[name].accounts if r is not row)
            pools[name] = msgspec.structs.replace(pools[name], accounts=accounts)
        record = _encode(summary, pools)
    return record


def decode_load(record: bytes) -> LoadSummary:
    """Return the summary in a load record, or raise msgspec.DecodeError."""
    return msgspec.json.decode(record, type=LoadSummary)


def _encode(summary: LoadSummary, pools: dict[str, PoolLoad]) -> bytes:
    return msgspec.json.encode(msgspec.structs.replace(summary, pools_by_name=pools))


def _rounded(pool: PoolLoad) -> PoolLoad:
    accounts = tuple(
        msgspec.structs.replace(
            row,
            # A standing just above 0.0 must not become that of an account within its
            # share.
            standing=max(round(row.standing, DECIMALS), 0.01) if row.standing else 0.0,
            in_time=round(row.in_time, DECIMALS),
            late=round(row.late, DECIMALS),
        )
        for row in pool.accounts
    )
    numbers = {
        name: round(value, DECIMALS)
        for name, value in msgspec.structs.asdict(pool).items()
        if name != "accounts"
    }
    return PoolLoad(**numbers, accounts=accounts)
