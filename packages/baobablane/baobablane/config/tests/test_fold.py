"""Test the configuration under concurrent, outdated and repeated changes."""

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
    entry_key,
    make_checkpoint,
    pool_of_instance,
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
# Each writer puts or deletes one entry, based on a state that may be outdated, and may
# append its change twice.
writers = st.lists(
    st.tuples(entries, st.integers(0, 3), st.booleans(), st.booleans()), max_size=14
)


def build_log(written: list[tuple[Entry, int, bool, bool]]) -> list[str]:
    """Return the payloads that concurrent writers append."""
    history = [ConfigState()]
    payloads: list[str] = []

    def append(change: Change) -> None:
        state, _ = apply_record(history[-1], len(payloads), change)
        payloads.append(encode_record(change))
        history.append(state)

    append(Change("base", "ops", {entry_key(e): ABSENT for e in BASE}, BASE))
    for number, (entry, lag, is_delete, is_repeated) in enumerate(written):
        observed_state = history[max(0, len(history) - 1 - lag)]
        key = entry_key(entry)
        puts = () if is_delete and key != "team/clerks" else (entry,)
        deletes = () if puts else (key,)
        change = Change(
            f"c{number}", "ops", {key: observed_state.revision_of(key)}, puts, deletes
        )
        append(change)
        if is_repeated:
            append(change)
    return payloads


def records(payloads: list[str]) -> list[LogRecord]:
    """Return payloads as log records with consecutive offsets."""
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
    """Test invariants that hold for every order of records."""

    @given(writers)
    def test_revision_never_decreases(self, written):
        revisions = [state.revision for state in fold(build_log(written))]
        assert revisions == sorted(revisions)

    @given(writers)
    def test_change_is_accepted_at_most_once(self, written):
        folded = CheckpointedFold(CONFIG_FOLD)
        results = folded.feed(records(build_log(written)))
        accepted = [result.record_id for result in results if result.accepted]
        assert len(accepted) == len(set(accepted))

    def test_late_duplicate_does_not_restore_a_deleted_entry(self):
        state, _ = apply_record(
            ConfigState(),
            0,
            Change("base", "ops", {entry_key(e): ABSENT for e in BASE}, BASE),
        )
        key = Key("k9", "clerks", "s", "d")
        put_key = Change("give", "ana", {"key/k9": ABSENT}, (key,))
        state, _ = apply_record(state, 1, put_key)
        remove = Change("remove", "ana", {"key/k9": 1}, (), ("key/k9",))
        state, _ = apply_record(state, 2, remove)
        state, result = apply_record(state, 3, put_key)
        assert result.reason == "duplicate"
        assert "key/k9" not in state.entries_by_key

    @given(writers)
    def test_withdrawn_key_stays_withdrawn(self, written):
        withdrawn: set[str] = set()
        for state in fold(build_log(written)):
            for versioned in state.entries_by_key.values():
                if isinstance(versioned.entry, Key):
                    assert (
                        versioned.entry.withdrawn or versioned.entry.id not in withdrawn
                    )
                    if versioned.entry.withdrawn:
                        withdrawn.add(versioned.entry.id)

    @given(writers)
    def test_instance_leaves_its_pool_only_while_draining(self, written):
        states = fold(build_log(written))
        for before, after in zip(states, states[1:], strict=False):
            old = pool_of_instance(before.entries_by_key, "w-1")
            new = pool_of_instance(after.entries_by_key, "w-1")
            if "" in (old, new) or old == new:
                continue
            placement = before.entries_by_key["placement/w-1"].entry
            assert placement.phase is not PlacementPhase.SERVING

    @given(writers, st.data())
    def test_fold_from_a_checkpoint_equals_the_full_fold(self, written, data):
        payloads = build_log(written)
        checkpoint_offset = data.draw(st.integers(0, len(payloads) - 1))
        checkpoint = make_checkpoint(
            fold(payloads)[checkpoint_offset], checkpoint_offset, "checkpoint"
        )
        payloads.append(encode_record(checkpoint))
        oldest = data.draw(st.integers(0, checkpoint_offset + 1))
        fresh = CheckpointedFold(CONFIG_FOLD)
        fresh.skip_to(oldest)
        fresh.feed(records(payloads)[oldest:])
        full_state = fold(payloads)[-1]
        assert fresh.is_complete
        assert fresh.state.revision == full_state.revision
        assert fresh.state.entries_by_key == full_state.entries_by_key

    @given(writers, st.data())
    def test_checkpoint_before_a_gap_is_not_restored(self, written, data):
        payloads = build_log([*written, *[(Team("clerks", 2, 2), 0, False, False)] * 3])
        checkpoint_offset = data.draw(st.integers(0, len(payloads) - 3))
        checkpoint = make_checkpoint(
            fold(payloads)[checkpoint_offset], checkpoint_offset, "checkpoint"
        )
        payloads.append(encode_record(checkpoint))
        fresh = CheckpointedFold(CONFIG_FOLD)
        fresh.skip_to(checkpoint_offset + 2)
        fresh.feed(records(payloads)[checkpoint_offset + 2 :])
        assert not fresh.is_complete
        assert fresh.state.revision == ABSENT


class TestRace:
    """Test two operators whose changes are based on the same revision."""

    def test_second_change_is_rejected_with_a_reason(self):
        state, _ = apply_record(
            ConfigState(),
            0,
            Change("base", "ops", {entry_key(e): ABSENT for e in BASE}, BASE),
        )
        first = Change("a", "ana", {"team/clerks": 0}, (Team("clerks", 1, 5),))
        second = Change("b", "bo", {"team/clerks": 0}, (Team("clerks", 1, 6),))
        state, first_result = apply_record(state, 1, first)
        state, second_result = apply_record(state, 2, second)
        assert first_result.accepted
        assert second_result.reason == "team/clerks is at revision 1, not 0"
        assert state.entries_by_key["team/clerks"].entry == Team("clerks", 1, 5)

    def test_instance_cannot_be_added_to_a_deleted_pool(self):
        state, _ = apply_record(
            ConfigState(),
            0,
            Change("base", "ops", {entry_key(e): ABSENT for e in BASE}, BASE),
        )
        delete = Change("a", "ana", {"pool/spare": 0}, (), ("pool/spare",))
        state, _ = apply_record(state, 1, delete)
        instance = Instance("w-2", "10.0.0.2", 80, "a", "a1", "spare", 8, 64, 32, 64)
        change = Change("b", "bo", {"instance/w-2": ABSENT}, (instance,))
        state, result = apply_record(state, 2, change)
        assert not result.accepted
        assert "pool/spare, which does not exist" in result.reason
