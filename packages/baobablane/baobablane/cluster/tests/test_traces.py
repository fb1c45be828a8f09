"""Replay streams that a run under failures left, against the stated outcome."""

import json
from collections import Counter
from pathlib import Path

import msgspec

from baobablane.config import CONFIG_FOLD, Key, build_view
from baobablane.log import CheckpointedFold, LogRecord
from baobablane.membership import MEMBERSHIP_FOLD

TRACES = Path(__file__).parent / "traces"
OUTCOME = json.loads((TRACES / "outcome.json").read_text())


def replay(fold, stream):
    """Fold a recorded stream one by one and yield its verdicts."""
    lines = (TRACES / f"{stream}.jsonl").read_text().splitlines()
    for line in lines:
        yield from fold.feed([msgspec.json.decode(line, type=LogRecord)])


class TestTraces:
    """Test a run with lost answers, a kill, a restart and a planned stop."""

    def test_configuration(self):
        stated = OUTCOME["config"]
        fold = CheckpointedFold(CONFIG_FOLD)
        verdicts = replay(fold, "config")
        assert sum(verdict.accepted for verdict in verdicts) == stated["accepted"]
        assert fold.state.revision == stated["revision"]
        view = build_view(fold.state)
        keys = [k for k in view.keys_by_id.values() if isinstance(k, Key)]
        assert [key.id for key in keys if key.withdrawn] == stated["withdrawn"]
        out = [name for name in view.instances_by_id if not view.is_serving(name)]
        assert out == stated["not_serving"]

    def test_membership(self):
        stated = OUTCOME["membership"]
        fold = CheckpointedFold(MEMBERSHIP_FOLD)
        seen = {}
        for _ in replay(fold, "membership"):
            for member in fold.state.members_by_incarnation.values():
                seen[member.incarnation] = member.instance
        active = fold.state.active_members()
        assert sorted(member.instance for member in active) == stated["active"]
        assert Counter(seen.values()) == stated["incarnations_by_instance"]
        owned = Counter(seen[owner] for owner in fold.state.owners if owner)
        assert owned == stated["owned"]
