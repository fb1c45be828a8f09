"""Test the plays that have names, by their plans and with real processes."""

import subprocess
import sys
from pathlib import Path

import pytest

from soak._chase import Chase
from soak._fault import Fault
from soak._plays import PLAYS, make_play

from .events import TASK, start

ROOT = Path(__file__).resolve().parents[2]
# The shortest ones that kept a long-running task without a run for too long.
SHORT_PLAYS = ("cut-kill-twice-early", "chase-3-reset")
# What takes runs away, if no start is chased.
LOSS_KINDS = ("cut-responses", "rack-silent")


class TestPlans:
    """Test what is played."""

    @pytest.mark.parametrize("name", PLAYS)
    def test_plan_names_its_play_and_is_always_the_same(self, name):
        assert make_play(name) == make_play(name)
        assert str(make_play(name)).startswith(f"play {name}, ")

    @pytest.mark.parametrize("name", PLAYS)
    def test_broken_promise_has_the_time_to_show(self, name):
        plan = make_play(name)
        calm = plan.calm_seconds
        if plan.faults:
            # The loss goes on to the end, or is over at once.
            loss = next(f for f in plan.faults if f.kind in LOSS_KINDS)
            others = [f for f in plan.faults if f is not loss]
            over_at = max([loss.at, *(fault.ends_at for fault in others)])
            calm = max(loss.ends_at, plan.faults[-1].at + calm) - over_at
        assert calm >= 15.0

    def test_lost_rack_returns_while_others_stay_away(self):
        rack = make_play("rack-terminate-before")
        assert [str(f).split()[2:4] for f in rack.faults] == [
            ["terminate", "0.0"],
            ["rack-silent", "2.0"],
        ]
        assert [job.kind for job in rack.jobs].count("serving") == 12
        assert make_play("half-kill-after").faults[0].seconds == 60.0

    def test_short_tasks_need_more_than_the_rest_of_a_full_pool(self):
        jobs = make_play("full-alone").jobs
        short = [job for job in jobs if job.kind == "plain"]
        assert (short[0].at, short[-1].at) == (4.0, pytest.approx(31.6))
        assert {job.counts for job in short} == {(6,)}
        lasting_cores = sum(job.task_count for job in jobs if job.kind == "serving")
        assert lasting_cores + 6 * 2.5 / 0.4 > 6 * 8


class TestChase:
    """Test faults that follow from starts."""

    def test_upstream_of_the_task_crashes_at_each_of_its_first_starts(self):
        chase = Chase(TASK, "crash-reset", 2)
        crash = Fault(5.02, "crash-reset", ("u3",), 60.0)
        assert list(chase.react(start(5.0, "u3"), {})) == [crash]
        assert len(list(chase.react(start(5.0, "u3"), {"crash-reset": 1}))) == 1
        assert not list(chase.react(start(5.0, "u3"), {"crash-reset": 2}))

    def test_starts_of_other_tasks_cause_nothing(self):
        assert not list(Chase("other", "crash-reset", 2).react(start(5.0), {}))

    def test_instances_are_killed_after_each_crash(self):
        chase = Chase(TASK, "crash-silent", 2, ("entry-0", "entry-1"))
        kill = list(chase.react(start(5.0), {}))[1]
        assert (kill.kind, kill.targets) == ("kill", ("entry-0", "entry-1"))
        assert kill.at == pytest.approx(5.32)


class TestPromises:
    """Test that long-running tasks run again in time, with the real processes."""

    @pytest.mark.parametrize("name", SHORT_PLAYS)
    def test_play_breaks_nothing(self, name):
        result = subprocess.run(
            [sys.executable, "-m", "soak", "--play", name],
            cwd=ROOT,
            capture_output=True,
            text=True,
            check=False,
        )
        assert result.returncode == 0, result.stdout + result.stderr
