"""Simulate demand that bursts in one pool after another."""

from baobablane.scheduling import PoolDemand

EQUAL_SHARE_CORES = 192.0
STEP_SECONDS = 0.25
BURST_SECONDS = 4.5
POOLS = ("a", "b", "c", "d")


def make_demand(arrived=0.0, due=0.0, lasting=10.0, cores=EQUAL_SHARE_CORES):
    """Return a pool's demand; all amounts are in cores or core-seconds."""
    return PoolDemand(cores, lasting, due, arrived)


def simulate_bursts(sizing, bursts, peak=170.0):
    """Simulate successive bursts; return (time, bursting pool, wanted cores) rows."""
    arrived = dict.fromkeys(POOLS, 0.0)
    wanted = []
    now = 0.0
    while now < bursts * BURST_SECONDS:
        bursting_pool = POOLS[int(now / BURST_SECONDS) % len(POOLS)]
        for pool in POOLS:
            rate = peak if pool == bursting_pool else peak / 20
            arrived[pool] += rate * STEP_SECONDS
        demands = {pool: make_demand(arrived[pool]) for pool in POOLS}
        sizing.observe(demands, EQUAL_SHARE_CORES, now)
        cores = {p: sizing.wanted_cores(p, demands[p], now) for p in POOLS}
        wanted.append((now, bursting_pool, cores))
        now += STEP_SECONDS
    return wanted
