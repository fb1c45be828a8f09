"""Replay streams recorded in a run with failures, and compare the final state."""

import json
from collections import Counter
from pathlib import Path

import msgspec

from baobablane.config import CONFIG_FOLD, Key, build_view
from baobablane.log import CheckpointedFold, LogRecord
from baobablane.membership import MEMBERSHIP_FOLD

TRACES = Path(__file__).parent / "traces"
EXPECTED = json.loads((TRACES / "outcome.json").read_text())


def replay(fold, stream):
    """Fold a recorded stream record by record, and yield the results."""
    lines = (TRACES / f"{stream}.jsonl").read_text().splitlines()
    for line in lines:
        yield from fold.feed([msgspec.json.decode(line, type=LogRecord)])


class TestTraces:
    """Test a run with lost responses, a kill, a restart and a planned stop."""

    def test_recorded_config_stream_gives_the_expected_state(self):
        expected = EXPECTED["config"]
        fold = CheckpointedFold(CONFIG_FOLD)
        results = replay(fold, "config")
        assert sum(result.accepted for result in results) == expected["accepted"]
        assert fold.state.revision == expected["revision"]
        view = build_view(fold.state)
        keys = [k for k in view.keys_by_id.values() if isinstance(k, Key)]
        assert [key.id for key in keys if key.withdrawn] == expected["withdrawn"]
        not_serving = [
            name for name in view.instances_by_id if not view.is_serving(name)
        ]
        assert not_serving == expected["not_serving"]

    def test_recorded_membership_stream_gives_the_expected_state(self):
        expected = EXPECTED["membership"]
        fold = CheckpointedFold(MEMBERSHIP_FOLD)
        instances_by_incarnation = {}
        for _ in replay(fold, "membership"):
            for member in fold.state.members_by_incarnation.values():
                instances_by_incarnation[member.incarnation] = member.instance
        active = fold.state.active_members()
        assert sorted(member.instance for member in active) == expected["active"]
        assert (
            Counter(instances_by_incarnation.values())
            == expected["incarnations_by_instance"]
        )
        owned = Counter(
            instances_by_incarnation[owner] for owner in fold.state.owners if owner
        )
        assert owned == expected["owned"]
