"""Test the check of what owners have logged of their counts."""

import json

from soak._count_check import COUNT_PROMISE, find_miscounts

REASON = "upstream u0: 3 counted, 2 known"
LINE = json.dumps({"event": "counts-differ", "upstream": "u0", "reason": REASON})


class TestLogs:
    """Test logs of several processes."""

    def test_each_miscount_is_a_breach(self, tmp_path):
        """Guards against a soak that holds while room is counted for nothing."""
        (tmp_path / "entry-0.log").write_text(f'{{"event":"taken-over"}}\n{LINE}\n')
        (tmp_path / "entry-1.log").write_text(LINE[:40])
        breaches = list(find_miscounts(tmp_path, 7.0))
        assert [(b.promise, b.subject) for b in breaches] == [
            (COUNT_PROMISE, "entry-0"),
            (COUNT_PROMISE, "entry-1"),
        ]
        assert breaches[0].detail == REASON

    def test_other_lines_break_nothing(self, tmp_path):
        (tmp_path / "entry-0.log").write_text('{"event":"task-placed"}\n')
        assert list(find_miscounts(tmp_path, 7.0)) == []
