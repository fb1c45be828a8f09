"""Test the order of succession."""

from baobablane.succession import MAX_WATCHERS, line_of_succession

INSTANCES = [f"entry-{number}" for number in range(9)]


class TestLine:
    """Test which instances watch an owner, and in which order."""

    def test_all_instances_know_the_same_line(self):
        line = line_of_succession(INSTANCES, "entry-4", 7)
        assert line == line_of_succession(reversed(INSTANCES), "entry-4", 7)
        assert len(line) == MAX_WATCHERS

    def test_owner_does_not_succeed_itself(self):
        assert line_of_succession(["a", "b"], "a", 1) == ("b",)
        assert line_of_succession(["a"], "a", 1) == ()

    def test_successors_differ_between_epochs(self):
        """Guards against the same lost instances at the head of each line."""
        first = {line_of_succession(INSTANCES, "", epoch)[0] for epoch in range(40)}
        assert len(first) > len(INSTANCES) // 2
