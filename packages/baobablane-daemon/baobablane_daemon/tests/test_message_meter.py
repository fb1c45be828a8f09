"""Test the bounds on what the HTTP parser keeps of one message."""

from baobablane_daemon._message_meter import (
    MAX_EMPTY_BYTES,
    MAX_PIECE_BYTES,
    MIN_CHUNKED_BYTES,
    MessageMeter,
)

HEAD = b"GET / HTTP/1.1\r\nHost: q.example\r\n\r\n"
MAX_HEAD_BYTES = 100


def make_meter():
    """Return a meter of heads with a small limit."""
    return MessageMeter(lambda: MAX_HEAD_BYTES)


def split(meter, data):
    """Return the pieces of data."""
    pieces = []
    while data:
        piece = meter.next_piece(data)
        meter.note_parsed(piece)
        pieces.append(piece)
        data = data[len(piece) :]
    return pieces


class TestPieces:
    """Test where data are divided."""

    def test_no_piece_reaches_beyond_the_end_of_a_head(self):
        assert split(make_meter(), HEAD * 3) == [HEAD] * 3

    def test_end_of_a_head_may_arrive_in_parts(self):
        for cut in range(1, len(HEAD)):
            meter = make_meter()
            assert split(meter, HEAD[:cut]) == [HEAD[:cut]]
            assert split(meter, HEAD[cut:] + HEAD) == [HEAD[cut:], HEAD]

    def test_piece_of_a_body_ends_with_it(self):
        meter = make_meter()
        meter.begin_head()
        meter.end_head(10)
        meter.note_parsed(HEAD)
        assert meter.next_piece(bytes(4) + HEAD) == bytes(4) + HEAD[:6]
        meter.note_body(4)
        assert meter.next_piece(bytes(6) + HEAD) == bytes(6)

    def test_chunked_body_of_ends_of_heads_is_parsed_in_few_pieces(self):
        """Guards against a body that takes the processor of the whole machine."""
        meter = make_meter()
        meter.begin_head()
        meter.end_head(0)
        pieces = split(meter, b"\r\n\r\n" * MAX_PIECE_BYTES)
        assert len(pieces) <= 4 * MAX_PIECE_BYTES / MIN_CHUNKED_BYTES

    def test_pieces_are_bounded(self):
        pieces = split(make_meter(), bytes(3 * MAX_PIECE_BYTES))
        assert max(map(len, pieces)) <= MAX_PIECE_BYTES


class TestHeadSize:
    """Test the size of a head."""

    def test_head_of_the_largest_size_is_allowed_in_any_parts(self):
        for part_bytes in (1, 7, MAX_HEAD_BYTES):
            meter = make_meter()
            for start in range(0, MAX_HEAD_BYTES, part_bytes):
                piece = bytes(min(part_bytes, MAX_HEAD_BYTES - start))
                assert not meter.is_head_too_large(piece)
                if start == 0:
                    meter.begin_head()
                meter.note_parsed(piece)
            assert meter.is_head_too_large(b"x")

    def test_each_head_counts_by_itself(self):
        meter = make_meter()
        for _ in range(3):
            meter.begin_head()
            meter.note_parsed(bytes(MAX_HEAD_BYTES))
            meter.end_head(0)
            assert not meter.is_head_too_large(bytes(MAX_HEAD_BYTES))

    def test_empty_lines_before_a_head_are_no_part_of_it(self):
        meter = make_meter()
        meter.begin_head()
        meter.note_parsed(b"\r\n" + b"x" * (MAX_HEAD_BYTES - 1))
        assert not meter.is_head_too_large(b"x")


class TestEmptyLines:
    """Test bytes between messages, from which the parser makes nothing."""

    def test_some_empty_lines_are_allowed_before_each_message(self):
        meter = make_meter()
        for _ in range(3):
            meter.note_parsed(bytes(MAX_EMPTY_BYTES))
            assert not meter.has_too_many_empty_lines()
            meter.begin_head()
            meter.end_head(0)
            meter.end_message()
            meter.note_parsed(HEAD)

    def test_more_are_too_many(self):
        meter = make_meter()
        for _ in range(MAX_EMPTY_BYTES):
            meter.note_parsed(b"\n")
        assert not meter.has_too_many_empty_lines()
        meter.note_parsed(b"\n")
        assert meter.has_too_many_empty_lines()

    def test_a_message_is_none(self):
        """Guards against a body that counts as empty lines."""
        meter = make_meter()
        meter.begin_head()
        meter.end_head(0)
        meter.note_parsed(HEAD)
        meter.note_parsed(bytes(10 * MAX_EMPTY_BYTES))
        assert not meter.has_too_many_empty_lines()


class TestFraming:
    """Test bytes of a body's message that are not of the body."""

    def begin_body(self):
        """Return a meter of a message whose head has arrived."""
        meter = make_meter()
        meter.begin_head()
        meter.end_head(0)
        meter.note_parsed(HEAD)
        return meter

    def test_trailer_may_be_as_large_as_a_head(self):
        meter = self.begin_body()
        meter.note_parsed(bytes(MAX_HEAD_BYTES))
        assert not meter.is_framing_too_large()
        meter.note_parsed(b"x")
        assert meter.is_framing_too_large()

    def test_chunks_begin_the_count_anew(self):
        meter = self.begin_body()
        for _ in range(10):
            meter.note_parsed(bytes(MAX_HEAD_BYTES))
            meter.note_body(1)
            meter.note_parsed(bytes(10 * MAX_HEAD_BYTES))
            assert not meter.is_framing_too_large()
