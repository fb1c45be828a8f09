"""Test the fold of the configuration stream."""

from baobablane.config import (
    ABSENT,
    CONFIG_FOLD,
    Change,
    ConfigState,
    Entry,
    Instance,
    Key,
    Placement,
    PlacementPhase,
    Pool,
    Team,
    apply_record,
    encode_record,
    key_of,
    make_checkpoint,
    pool_of,
)
from baobablane.log import CheckpointedFold, LogRecord
from hypothesis import given
from hypothesis import strategies as st

POOLS = ("front", "spare")
INSTANCE = Instance("w-1", "10.0.0.1", 80, "a", "a1", "front", 8, 64, 32, 64)
BASE: tuple[Entry, ...] = (
    *(Pool(name, ()) for name in POOLS),
    Team("clerks", 1.0, 8),
    INSTANCE,
)

entries = st.one_of(
    st.builds(Team, st.just("clerks"), st.floats(1, 9), st.integers(0, 9)),
    st.builds(
        Key,
        st.sampled_from(["k1", "k2"]),
        st.just("clerks"),
        st.just("s"),
        st.just("d"),
        st.booleans(),
    ),
    st.builds(
        Placement,
        st.just("w-1"),
        st.sampled_from(POOLS),
        st.sampled_from(PlacementPhase),
    ),
    st.builds(
        Instance,
        st.just("w-1"),
        st.just("10.0.0.1"),
        st.just(80),
        st.just("a"),
        st.just("a1"),
        st.sampled_from(POOLS),
        st.just(8),
        st.just(64),
        st.just(32.0),
        st.just(64.0),
    ),
)
# Each writer puts one entry, builds on a view that lags, and may write twice.
writers = st.lists(
    st.tuples(entries, st.integers(0, 3), st.booleans(), st.booleans()), max_size=14
)


def build_log(written: list[tuple[Entry, int, bool, bool]]) -> list[str]:
    """Return the payloads that racing writers append."""
    history = [ConfigState()]
    payloads: list[str] = []

    def append(change: Change) -> None:
        state, _ = apply_record(history[-1], len(payloads), change)
        payloads.append(encode_record(change))
        history.append(state)

    append(Change("base", "ops", {key_of(e): ABSENT for e in BASE}, BASE))
    for number, (entry, lag, is_delete, is_repeated) in enumerate(written):
        seen = history[max(0, len(history) - 1 - lag)]
        key = key_of(entry)
        puts = () if is_delete and key != "team/clerks" else (entry,)
        deletes = () if puts else (key,)
        change = Change(
            f"c{number}", "ops", {key: seen.revision_of(key)}, puts, deletes
        )
        append(change)
        if is_repeated:
            append(change)
    return payloads


def records(payloads: list[str]) -> list[LogRecord]:
    """Return payloads as the log numbers them."""
    return [LogRecord(offset, 0.0, text) for offset, text in enumerate(payloads)]


def fold(payloads: list[str]) -> list[ConfigState]:
    """Return the state after each record."""
    folded = CheckpointedFold(CONFIG_FOLD)
    states = []
    for record in records(payloads):
        folded.feed([record])
        states.append(folded.state)
    return states


class TestFold:
    """Test what holds for every order of records."""

    @given(writers)
    def test_revision_never_goes_back(self, written):
        revisions = [state.revision for state in fold(build_log(written))]
        assert revisions == sorted(revisions)

    @given(writers)
    def test_change_is_accepted_at_most_once(self, written):
        folded = CheckpointedFold(CONFIG_FOLD)
        verdicts = folded.feed(records(build_log(written)))
        accepted = [v.record_id for v in verdicts if v.accepted]
        assert len(accepted) == len(set(accepted))

    def test_late_copy_does_not_bring_back_what_was_deleted(self):
        state, _ = apply_record(
            ConfigState(),
            0,
            Change("base", "ops", {key_of(e): ABSENT for e in BASE}, BASE),
        )
        key = Key("k9", "clerks", "s", "d")
        give = Change("give", "ana", {"key/k9": ABSENT}, (key,))
        state, _ = apply_record(state, 1, give)
        remove = Change("remove", "ana", {"key/k9": 1}, (), ("key/k9",))
        state, _ = apply_record(state, 2, remove)
        state, verdict = apply_record(state, 3, give)
        assert verdict.reason == "duplicate"
        assert "key/k9" not in state.entries_by_key

    @given(writers)
    def test_withdrawn_key_stays_withdrawn(self, written):
        withdrawn: set[str] = set()
        for state in fold(build_log(written)):
            for held in state.entries_by_key.values():
                if isinstance(held.entry, Key):
                    assert held.entry.withdrawn or held.entry.id not in withdrawn
                    if held.entry.withdrawn:
                        withdrawn.add(held.entry.id)

    @given(writers)
    def test_instance_leaves_its_pool_only_while_draining(self, written):
        states = fold(build_log(written))
        for before, after in zip(states, states[1:], strict=False):
            old = pool_of(before.entries_by_key, "w-1")
            new = pool_of(after.entries_by_key, "w-1")
            if "" in (old, new) or old == new:
                continue
            placement = before.entries_by_key["placement/w-1"].entry
            assert placement.phase is not PlacementPhase.SERVING

    @given(writers, st.data())
    def test_fresh_fold_from_a_checkpoint_equals_the_whole_fold(self, written, data):
        payloads = build_log(written)
        upto = data.draw(st.integers(0, len(payloads) - 1))
        checkpoint = make_checkpoint(fold(payloads)[upto], upto, "checkpoint")
        payloads.append(encode_record(checkpoint))
        oldest = data.draw(st.integers(0, upto + 1))
        fresh = CheckpointedFold(CONFIG_FOLD)
        fresh.skip_to(oldest)
        fresh.feed(records(payloads)[oldest:])
        whole = fold(payloads)[-1]
        assert fresh.is_complete
        assert fresh.state.revision == whole.revision
        assert fresh.state.entries_by_key == whole.entries_by_key

    @given(writers, st.data())
    def test_checkpoint_older_than_a_gap_anchors_nothing(self, written, data):
        payloads = build_log([*written, *[(Team("clerks", 2, 2), 0, False, False)] * 3])
        upto = data.draw(st.integers(0, len(payloads) - 3))
        checkpoint = make_checkpoint(fold(payloads)[upto], upto, "checkpoint")
        payloads.append(encode_record(checkpoint))
        fresh = CheckpointedFold(CONFIG_FOLD)
        fresh.skip_to(upto + 2)
        fresh.feed(records(payloads)[upto + 2 :])
        assert not fresh.is_complete
        assert fresh.state.revision == ABSENT


class TestRace:
    """Test two operators who build on the same revision."""

    def test_first_wins_and_second_is_told(self):
        state, _ = apply_record(
            ConfigState(),
            0,
            Change("base", "ops", {key_of(e): ABSENT for e in BASE}, BASE),
        )
        first = Change("a", "ana", {"team/clerks": 0}, (Team("clerks", 1, 5),))
        second = Change("b", "bo", {"team/clerks": 0}, (Team("clerks", 1, 6),))
        state, won = apply_record(state, 1, first)
        state, lost = apply_record(state, 2, second)
        assert won.accepted
        assert lost.reason == "team/clerks is at revision 1, not 0"
        assert state.entries_by_key["team/clerks"].entry == Team("clerks", 1, 5)

    def test_deleted_pool_can_not_gain_an_instance(self):
        state, _ = apply_record(
            ConfigState(),
            0,
            Change("base", "ops", {key_of(e): ABSENT for e in BASE}, BASE),
        )
        delete = Change("a", "ana", {"pool/spare": 0}, (), ("pool/spare",))
        state, _ = apply_record(state, 1, delete)
        late = Instance("w-2", "10.0.0.2", 80, "a", "a1", "spare", 8, 64, 32, 64)
        change = Change("b", "bo", {"instance/w-2": ABSENT}, (late,))
        state, verdict = apply_record(state, 2, change)
        assert not verdict.accepted
        assert "pool/spare, which does not exist" in verdict.reason
