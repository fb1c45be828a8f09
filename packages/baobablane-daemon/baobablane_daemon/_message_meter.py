"""Count what an HTTP parser takes in without handing it on."""

from collections.abc import Callable

# The size up to which the platform's callers may send a head, unless the configuration
# allows more.
DEFAULT_MAX_HEAD_BYTES = 16_384
# So small that many connections can be between two pieces.
MAX_PIECE_BYTES = 4_096
END_OF_HEAD = b"\r\n\r\n"
LINE_BREAKS = b"\r\n"
# A body of nothing but ends of heads would otherwise be parsed in pieces of 4 bytes.
MIN_CHUNKED_BYTES = 64
# Between two messages. Clients send one empty line at most (RFC 9112, section 2.2).
MAX_EMPTY_BYTES = 256


class MessageMeter:
    """Bound the part of a message that the parser keeps until it is complete.

    The parser has no limits of its own: it keeps a target, or a field's name or value,
    until its end has arrived.
    """

    def __init__(self, max_head_bytes: Callable[[], int]) -> None:
        """Start before the first message."""
        self._max_head_bytes = max_head_bytes
        self._is_in_head = False
        self._head_bytes = 0
        self._is_between_messages = True
        # Of a body whose size its head tells; otherwise 0.
        self._body_bytes_left = 0
        # Of chunk sizes and trailers since the latest byte of the body.
        self._framing_bytes = 0
        # Whether the latest piece brought the end of a message.
        self._has_just_ended = False
        # Whether the latest piece brought the end of a head, or bytes of a body.
        self._has_handed_on = False
        self._empty_bytes = 0
        # The end of the piece before, in which the end of a head may have begun.
        self._tail = b""

    def next_piece(self, data: bytes) -> bytes:
        """Return what to parse next: it reaches beyond the end of no message.

        Only a chunked body that ends within the first `MIN_CHUNKED_BYTES` does not
        end its piece.
        """
        if self._body_bytes_left:
            return data[: self._body_bytes_left]
        window = self._tail + data[:MAX_PIECE_BYTES]
        is_chunked_body = not self._is_in_head and not self._is_between_messages
        end = window.find(END_OF_HEAD, MIN_CHUNKED_BYTES if is_chunked_body else 0)
        size = end + len(END_OF_HEAD) if end >= 0 else len(window)
        return data[: size - len(self._tail)]

    def is_head_too_large(self, piece: bytes) -> bool:
        """Return whether the head, with a piece that is to be parsed, is too large."""
        bytes_with_piece = self._head_bytes + len(piece)
        return self._is_in_head and bytes_with_piece > self._max_head_bytes()

    def is_framing_too_large(self) -> bool:
        """Return whether a body goes on with more than a head of other bytes."""
        return self._framing_bytes > self._max_head_bytes()

    def has_too_many_empty_lines(self) -> bool:
        """Return whether too many bytes came before a message, or instead of one."""
        return self._empty_bytes > MAX_EMPTY_BYTES

    def begin_head(self) -> None:
        """Note that a message begins."""
        self._is_in_head = True
        self._head_bytes = 0
        self._is_between_messages = False
        self._empty_bytes = 0

    def end_head(self, body_bytes: int) -> None:
        """Note that the head has arrived, and the size of the body if it tells that."""
        self._is_in_head = False
        self._body_bytes_left = body_bytes
        self._has_handed_on = True
        self._framing_bytes = 0

    def note_body(self, size_bytes: int) -> None:
        """Note that bytes of the body have arrived."""
        self._body_bytes_left = max(0, self._body_bytes_left - size_bytes)
        self._has_handed_on = True
        self._framing_bytes = 0

    def end_message(self) -> None:
        """Note that the whole message has arrived."""
        self._body_bytes_left = 0
        self._is_between_messages = True
        self._has_just_ended = True

    def note_parsed(self, piece: bytes) -> None:
        """Note that a piece has been parsed."""
        if self._is_in_head:
            # Empty lines may come before a head.
            is_first = not self._head_bytes
            self._head_bytes += len(piece.lstrip(LINE_BREAKS) if is_first else piece)
        elif not self._is_between_messages:
            if not self._has_handed_on:
                self._framing_bytes += len(piece)
        elif not self._has_just_ended:
            self._empty_bytes += len(piece)
        self._has_just_ended = self._has_handed_on = False
        window = self._tail + piece
        is_end = window.endswith(END_OF_HEAD)
        self._tail = b"" if is_end else window[1 - len(END_OF_HEAD) :]
