"""Test the journal of requests that run at most once."""

from baobablane.errors import ResultCode
from baobablane.journal import Intent, Journal, RecordedOutcome, encode_record
from baobablane.log import LogRecord
from hypothesis import given
from hypothesis import strategies as st

MAX_VALIDITY_SECONDS = 100.0

# Each event: one of three senders, the key, the seconds since the previous event,
# the outcome that the sender reports if its intent is current (none, not-run or
# done), and whether its intent is appended twice.
events = st.lists(
    st.tuples(
        st.integers(0, 2),
        st.sampled_from(["k1", "k2"]),
        st.floats(0, 30),
        st.sampled_from([None, ResultCode.LOG_UNAVAILABLE, ResultCode.DONE]),
        st.booleans(),
    ),
    max_size=30,
)


class TestJournal:
    """Test that at most one request may have run under each key."""

    @given(events)
    def test_at_most_one_sender_may_have_run_a_key(self, sampled_events):
        journal = Journal(MAX_VALIDITY_SECONDS)
        expires_at_by_key = {"k1": 90.0, "k2": 60.0}
        keys_run: set[str] = set()
        now = 0.0
        offset = 0
        for number, (sender, key, delay_seconds, result, is_repeated) in enumerate(
            sampled_events
        ):
            now += delay_seconds
            intent = Intent(
                f"i{number}", key, "f", f"e{sender}", expires_at_by_key[key]
            )
            for _ in range(2 if is_repeated else 1):
                journal.feed([LogRecord(offset, now, encode_record(intent))])
                offset += 1
            if not journal.is_current(intent):
                continue
            if result is not ResultCode.LOG_UNAVAILABLE:
                assert key not in keys_run
                keys_run.add(key)
            if result is not None:
                outcome = RecordedOutcome(f"o{number}", key, intent.id, int(result))
                journal.feed([LogRecord(offset, now, encode_record(outcome))])
                offset += 1

    def test_expired_intent_never_becomes_current(self):
        journal = Journal(MAX_VALIDITY_SECONDS)
        intent = Intent("i", "k", "f", "e", 50.0)
        journal.feed([LogRecord(0, 50.0, encode_record(intent))])
        assert not journal.is_current(intent)

    def test_intent_beyond_the_maximum_validity_never_becomes_current(self):
        journal = Journal(MAX_VALIDITY_SECONDS)
        intent = Intent("i", "k", "f", "e", 1000.0)
        journal.feed([LogRecord(0, 0.0, encode_record(intent))])
        assert not journal.is_current(intent)

    def test_later_outcome_does_not_replace_the_first(self):
        journal = Journal(MAX_VALIDITY_SECONDS)
        intent = Intent("i", "k", "f", "e", 50.0)
        done = RecordedOutcome("o1", "k", "i", int(ResultCode.DONE))
        later = RecordedOutcome("o2", "k", "i", int(ResultCode.LOG_UNAVAILABLE))
        payloads = [encode_record(record) for record in (intent, done, later)]
        journal.feed([LogRecord(n, 1.0, text) for n, text in enumerate(payloads)])
        assert journal.get("k").outcome == done
