"""Replay recorded arrivals of two pools that get a few large jobs a second.

Each pool has a burst of about nine seconds, and a single large job now and then between
bursts. Such a job used to be recorded as a burst: the forecast then expected the next
one at a wrong time, in a wrong pool, and gave that pool the cores of a whole burst.
"""

from baobablane.scheduling import PoolDemand
from baobablane.sizing import PoolSizing

EQUAL_SHARE_CORES = 2304.0
STEP_SECONDS = 0.25
TASK_CORE_SECONDS = 21.0
# fmt: off
# Seconds at which jobs were accepted, with their numbers of tasks.
ARRIVALS_BY_POOL = {
    "a": (
    (3.0, 8), (6.9, 6), (8.1, 13), (13.1, 8), (15.4, 39), (25.4, 15), (25.8, 18),
    (25.9, 19), (26.0, 9), (26.7, 14), (27.3, 6), (27.4, 5), (27.5, 15), (28.0, 5),
    (28.1, 36), (28.1, 9), (28.2, 9), (28.3, 11), (28.3, 13), (28.4, 7), (28.7, 15),
    (28.7, 13), (28.8, 16), (28.8, 12), (29.1, 5), (29.1, 17), (29.3, 26), (29.4, 7),
    (29.4, 36), (29.6, 18), (29.6, 6), (29.8, 37), (29.8, 19), (29.9, 49), (30.1, 27),
    (30.3, 12), (30.4, 31), (30.4, 12), (30.5, 15), (30.6, 21), (30.9, 9), (30.9, 30),
    (31.0, 5), (31.1, 13), (31.1, 5), (31.1, 21), (31.3, 12), (31.3, 29), (31.4, 6),
    (31.4, 17), (31.9, 19), (32.0, 13), (32.1, 20), (32.4, 9), (32.4, 3), (32.4, 60),
    (32.7, 21), (32.7, 18), (32.7, 4), (33.0, 18), (33.1, 17), (33.5, 24), (38.6, 8),
    (39.1, 9), (46.7, 9),
),
    "b": (
    (15.3, 17), (16.7, 25), (17.1, 36), (17.5, 20), (17.6, 24), (18.4, 21), (18.7, 26),
    (18.7, 8), (18.8, 9), (18.8, 7), (19.1, 14), (19.7, 13), (19.7, 9), (20.1, 15),
    (20.5, 8), (20.6, 20), (20.6, 23), (20.7, 15), (21.3, 15), (21.4, 23), (21.5, 9),
    (21.6, 9), (21.7, 24), (22.3, 38), (22.4, 17), (22.6, 17), (22.8, 12), (22.9, 15),
    (22.9, 4), (23.0, 10), (23.1, 6), (23.3, 6), (23.4, 18), (23.5, 31), (23.6, 12),
    (23.6, 4), (23.6, 33), (23.8, 42), (23.8, 6), (23.8, 36), (23.9, 10), (24.0, 12),
    (24.0, 11), (24.1, 24), (24.3, 4), (24.4, 10), (24.5, 23), (24.6, 16), (25.5, 11),
    (29.0, 8), (36.3, 17), (39.6, 22), (51.1, 13), (51.1, 16), (51.2, 8), (52.0, 30),
    (52.8, 20), (53.0, 26), (53.2, 16), (53.3, 9), (53.3, 3),
),
}
# fmt: on
END_SECONDS = 54.0


def replay():
    """Return the burst starts, and (seconds, wanted cores by pool) of each step."""
    sizing = PoolSizing()
    rows = []
    now = 0.0
    while now < END_SECONDS:
        demands = {}
        for pool, arrivals in ARRIVALS_BY_POOL.items():
            sizes = [n * TASK_CORE_SECONDS for at, n in arrivals if at <= now]
            squares = sum(size**2 for size in sizes)
            demands[pool] = PoolDemand(0.0, 100.0, 0.0, sum(sizes), squares)
        sizing.observe(demands, EQUAL_SHARE_CORES, now)
        rows.append(
            (now, {p: sizing.wanted_cores(p, demands[p], now) for p in demands})
        )
        now += STEP_SECONDS
    return sizing.forecast.burst_starts(), rows


class TestFewLargeJobs:
    """Test that chance does not count as a burst, and that a burst is still found."""

    def test_only_bursts_are_recorded(self):
        burst_starts, _ = replay()
        assert [pool for _, pool in burst_starts] == ["b", "a", "b"]

    def test_burst_is_recorded_within_its_first_second_and_a_half(self):
        burst_starts, _ = replay()
        first_arrivals = (16.7, 25.4, 51.1)
        delays = [
            s - at for (s, _), at in zip(burst_starts, first_arrivals, strict=True)
        ]
        assert max(delays) < 1.5

    def test_single_job_gets_at_most_the_equal_share(self):
        _, rows = replay()
        # Job of 22 tasks, 15 s after the burst of its pool.
        cores = [wanted["b"] for now, wanted in rows if 39.0 <= now < 42.0]
        assert max(cores) <= EQUAL_SHARE_CORES
