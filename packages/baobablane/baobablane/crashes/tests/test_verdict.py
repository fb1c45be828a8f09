"""Test when lost runs show that a task crashes upstreams."""

import pytest
from baobablane.crashes import is_deadly
from baobablane.jobs import RunLoss


def crash(instance, suspects=1, is_started=True, is_crash=True, labels=()):
    """Return a run that was lost on an instance."""
    return RunLoss(
        1, f"u-{instance}", 1, instance, suspects, is_started, is_crash, labels
    )


def doubtful(instance, suspects=1):
    """Return a lost run that may never have begun."""
    loss = crash(instance, suspects, is_started=False)
    loss.is_start_doubtful = True
    return loss


class TestVerdict:
    """Test combinations of lost runs."""

    @pytest.mark.parametrize(
        ("losses", "expected"),
        [
            ([], False),
            ([crash("a")], False),
            ([crash("a"), crash("b")], True),
            ([crash("a", suspects=9), crash("b")], True),
            ([crash("a", suspects=9), crash("b", suspects=9)], False),
            ([crash("a"), crash("a")], False),
            ([crash("a"), crash("a"), crash("a")], True),
            ([crash("a"), crash("b", is_crash=False)], False),
            ([crash("a", suspects=4, is_started=False), crash("b")], False),
            ([crash("a", is_started=False), crash("b")], True),
            ([crash("a", suspects=0), crash("b", suspects=0)], False),
            ([crash("a", labels=("r1",)), crash("b", labels=("r1",))], False),
            ([crash("a", labels=("r1",)), crash("b", labels=("r2",))], True),
            ([crash("a", labels=("r1",))] * 2 + [crash("b", labels=("r1",))], True),
        ],
    )
    def test_losses(self, losses, expected):
        assert is_deadly(losses) is expected

    @pytest.mark.parametrize(
        ("losses", "expected"),
        [
            ([crash("a"), doubtful("b")], False),
            ([doubtful("a"), crash("b")], False),
            ([doubtful("a"), doubtful("b")], False),
            ([crash("a"), doubtful("b"), crash("c")], True),
            ([crash("a"), doubtful("b"), doubtful("b")], True),
            ([doubtful("a", suspects=0), crash("b")], False),
            ([doubtful("a", suspects=0)] * 5, True),
        ],
    )
    def test_two_crashes_count_only_if_the_task_may_have_begun_in_both(
        self, losses, expected
    ):
        assert is_deadly(losses) is expected
