"""Test how many rejections are wrong, by replays of a flood in virtual time."""

import pytest

from baobablane.scheduling._urgency import USELESS_MULTIPLE

from .flood_model import FLOOD_ACCOUNT, FloodReplay, make_arrivals

# The largest part of the rejected jobs that may turn out to have been in time.
MAX_WRONG_PART = 0.05
# Jobs replayed once more with only their own rejection left out, in each replay.
SAMPLES = 3


@pytest.mark.parametrize("flood_rate", [12.0, 25.0])
class TestFlood:
    """Test rejections while one account sends two and four times what fits."""

    def test_rejected_jobs_would_not_have_been_in_time(self, flood_rate):
        """Guard against rejections of jobs that the pool could have done in time.

        Each rejected job counts in a replay without rejections, and samples of them in
        one in which only this job is accepted in addition.
        """
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
