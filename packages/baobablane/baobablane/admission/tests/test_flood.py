"""Test how many rejections are wrong, by replays of a flood in virtual time."""

import pytest

from baobablane.scheduling import _planning
from baobablane.scheduling._urgency import USELESS_MULTIPLE, objective_seconds

from .flood_model import FLOOD_ACCOUNT, FloodReplay, FloodStandings, make_arrivals

# The largest part of the rejected jobs that may turn out to have been in time.
MAX_WRONG_PART = 0.05
# Jobs replayed once more with only their own rejection left out, in each replay.
SAMPLES = 3


def make_order(is_small_first):
    """Return the order of the overload page, which the scheduler does not have yet."""

    def urgency_key(job_run, queue, unix_ms, *inputs):
        critical_path_ms = job_run.declared_critical_path_ms
        objective_ms = objective_seconds(job_run, queue, critical_path_ms) * 1000
        remaining_ms = job_run.remaining_critical_path_ms()
        late_by_ms = unix_ms + remaining_ms - job_run.latest_due_ms() - objective_ms
        group = 1.0 + (late_by_ms > 0)
        group += late_by_ms > (USELESS_MULTIPLE - 1) * objective_ms
        standing = FloodStandings().standing("pool", job_run.job.account)
        if is_small_first and group == 1.0:
            return (group, 0.0, standing, job_run.remaining_core_seconds())
        return (group, 0.0, standing, -late_by_ms)

    return urgency_key


@pytest.mark.parametrize("is_small_first", [False, True])
@pytest.mark.parametrize("flood_rate", [12.0, 25.0])
class TestFlood:
    """Test rejections while one account sends two and four times what fits."""

    def test_rejected_jobs_would_not_have_been_in_time(
        self, flood_rate, is_small_first, monkeypatch
    ):
        """Guard against rejections of jobs that the pool could have done in time.

        Each rejected job counts in a replay without rejections, and samples of them in
        one in which only this job is accepted in addition.
        """
        monkeypatch.setattr(_planning, "urgency_key", make_order(is_small_first))
        arrivals = make_arrivals(1, flood_rate)
        replay = FloodReplay(arrivals).run()
        rejected = list(replay.rejections_by_id)
        assert rejected
        accounts = {job.id: job.account for _, job in arrivals}
        assert {accounts[job] for job in rejected} == {FLOOD_ACCOUNT}
        without = FloodReplay(arrivals, rejects=False).run()
        in_time = sum(without.multiple(job) <= 1.0 for job in rejected)
        assert in_time <= MAX_WRONG_PART * len(rejected)
        for job in rejected[:: max(1, len(rejected) // SAMPLES)][:SAMPLES]:
            accepted = FloodReplay(arrivals, always_accepted={job}).run()
            assert accepted.multiple(job) > 1.0
        assert sum(replay.verdicts) <= MAX_WRONG_PART * len(replay.verdicts)

        # A job that came back is late by its first sending, so only jobs that were
        # accepted at once count.
        at_once = {job for job in replay.accepted_ids if job not in rejected}
        late = sum(replay.multiple(job) > USELESS_MULTIPLE for job in at_once)
        late_without = sum(without.multiple(job) > USELESS_MULTIPLE for job in accounts)
        assert late < late_without
