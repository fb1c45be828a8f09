"""Bound what a client's connection holds, and for how long without a request."""

import asyncio
from asyncio import TimerHandle
from collections.abc import Callable

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from ._client_probe import probe_client
from ._connection_limit import ConnectionLimit
from ._message_meter import MessageMeter
from ._refusals import BAD_REQUEST, BUSY, LARGE_HEAD, SLOW_REQUEST

# Longer than clients keep a connection that they opened for a request and don't use.
FIRST_REQUEST_SECONDS = 30.0
# From the first byte of a request to the end of its head, and from a response to the
# end of a body that it did not wait for. Longer than callers wait for a response.
REQUEST_SECONDS = 10.0
# From when a response could not be sent as a whole, if the client takes no more of it.
# Longer than callers wait for a response.
UNREAD_SECONDS = 10.0
# What a field of a head takes in memory beside its bytes.
FIELD_BYTES = 256
# Of a request that arrives in smaller parts, so many count as progress.
PROGRESS_BYTES = 1_024
# All connections read into it, as each read is parsed before the next one.
READ_BUFFER = bytearray(16 * 1024)


class BoundedConnection(HttpToolsProtocol, asyncio.BufferedProtocol):
    """Close a connection on which no request comes, or too much for one.

    One with a request that is being answered is left alone, and so is an idle one after
    its first request, unless too many are open: a close might meet the client's next
    request.
    """

    # Shared by the connections of all servers of a process.
    limit: ConnectionLimit
    # Returns the size of the largest head that is allowed.
    max_head_bytes: Callable[[], int]
    _timer: TimerHandle | None = None
    # While a response is not sent.
    _unread_timer: TimerHandle | None = None
    # What was read and has to wait, and whether reading is paused for it.
    _unparsed = b""
    _is_held = False
    # What is kept of the request until its response is complete.
    _request_bytes = 0
    # What has arrived since the latest progress.
    _arrived_bytes = 0
    # Whether a part of a request has arrived, and not yet its end.
    _is_receiving = False
    # Whether the head of the latest request has arrived.
    _has_head = False

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Expect the first request."""
        super().connection_made(transport)
        probe_client(transport.get_extra_info("socket"))
        self._meter = MessageMeter(self.max_head_bytes)
        # What the kernel doesn't take is noted at once.
        transport.set_write_buffer_limits(high=0)
        self.limit.add(self)
        self._timer = self.loop.call_later(
            FIRST_REQUEST_SECONDS, self._close, "no request came", b""
        )

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop the timers."""
        self._stop_timer()
        self._stop_unread_timer()
        self._unset_keepalive_if_required()
        self.limit.remove(self)
        self._unparsed = b""
        if not self._is_deciding():
            self._drop_request()
        super().connection_lost(exc)

    def get_buffer(self, sizehint: int) -> bytearray:
        """Return the memory for the next read."""
        return READ_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Take what was read."""
        self.data_received(bytes(memoryview(READ_BUFFER)[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Take a part of a request, or of several ones."""
        self._unparsed += data
        self._parse()

    def _parse(self) -> None:
        """Parse what has arrived, up to a request that has to wait."""
        while (
            self._unparsed and not self.transport.is_closing() and not self._must_wait()
        ):
            piece = self._meter.next_piece(self._unparsed)
            self._unparsed = self._unparsed[len(piece) :]
            self._arrived_bytes += len(piece)
            if self._meter.is_head_too_large(piece):
                self._close("a head is too large", LARGE_HEAD)
                break
            super().data_received(piece)
            self._meter.note_parsed(piece)
            if self._keeps_request():
                self._request_bytes += len(piece)
            if self._meter.has_too_many_empty_lines():
                self._close("no request came, but empty lines", BAD_REQUEST)
            elif self._meter.is_framing_too_large():
                self._refuse_body("a trailer is too large", LARGE_HEAD)
        if self.transport.is_closing():
            self._unparsed = b""
            return
        if self._unparsed:
            self._is_held = True
            self.flow.pause_reading()
        elif self._is_held:
            self._is_held = False
            self.flow.resume_reading()
        self._note_held()
        if not self.transport.is_closing():
            self._watch()

    def _drop_request(self) -> None:
        """Free what is kept of a request.

        The connection refers to it until the next one begins, and a closed one until
        the garbage collector finds it.
        """
        self._request_bytes = 0
        if self.headers is not None:
            self.headers.clear()
        if self.cycle is not None:
            self.cycle.scope["headers"] = []
            self.cycle.body.clear()

    def _note_held(self) -> None:
        unsent_bytes = self.transport.get_write_buffer_size()
        self.limit.hold(self, self._request_bytes + len(self._unparsed) + unsent_bytes)

    def _keeps_request(self) -> bool:
        """Return whether a part of a request has arrived that is still of use."""
        return self._is_answering() or (self._is_receiving and not self._has_head)

    def _must_wait(self) -> bool:
        """Return whether the response before the next request isn't sent."""
        return self._is_deciding() or self.flow.write_paused

    def on_message_begin(self) -> None:
        """Note that a request begins."""
        if not self._is_receiving:
            self._is_receiving = True
            self._stop_timer()
        self._has_head = False
        self._meter.begin_head()
        self._request_bytes = 0
        super().on_message_begin()

    def on_headers_complete(self) -> None:
        """Note that the head has arrived."""
        self._has_head = True
        self._meter.end_head(_read_body_bytes(self.headers))
        super().on_headers_complete()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a field of the head; those of a trailer are of no use."""
        if not self._has_head:
            self._request_bytes += FIELD_BYTES
            super().on_header(name, value)

    def on_body(self, body: bytes) -> None:
        """Take a part of the body."""
        self._meter.note_body(len(body))
        super().on_body(body)

    def on_message_complete(self) -> None:
        """Note that a request has arrived as a whole."""
        self._is_receiving = False
        self._meter.end_message()
        super().on_message_complete()

    def on_response_complete(self) -> None:
        """Expect the rest of the request, or the next one."""
        super().on_response_complete()
        if not self._is_answering():
            self._drop_request()
        self._parse()

    def pause_writing(self) -> None:
        """Read nothing more until the client has taken what was sent."""
        super().pause_writing()
        self._note_held()
        self._await_client(self.transport.get_write_buffer_size())

    def resume_writing(self) -> None:
        """Go on with the next request."""
        super().resume_writing()
        self._stop_unread_timer()
        self._arrived_bytes = PROGRESS_BYTES
        self._parse()

    def _await_client(self, unsent_bytes: int) -> None:
        self._unread_timer = self.loop.call_later(
            UNREAD_SECONDS, self._check_unread, unsent_bytes
        )

    def _check_unread(self, unsent_bytes: int) -> None:
        """End the connection if the client has taken nothing for the whole time."""
        still_unsent_bytes = self.transport.get_write_buffer_size()
        if still_unsent_bytes < unsent_bytes:
            self._await_client(still_unsent_bytes)
            return
        self.logger.warning("Connection closed: a response was not read")
        self.transport.abort()

    def evict(self) -> None:
        """Close the connection, with a rejection if a request is arriving."""
        reason = "others need the memory or the descriptor"
        if self.transport.is_closing() or self.transport.get_write_buffer_size():
            self._close(reason, b"")
            self.transport.abort()
        elif self._is_receiving and self._has_head:
            self._refuse_body(reason, BUSY)
        else:
            self._close(reason, BUSY if self._is_receiving else b"")
        # Many may be evicted before the event loop reports that the first one is lost.
        self._unparsed = b""
        self._drop_request()

    def _watch(self) -> None:
        """Set the timer for what the connection waits for."""
        if self._is_deciding():
            self.limit.note_busy(self)
        else:
            has_progressed = self._arrived_bytes >= PROGRESS_BYTES
            self.limit.note_waiting(self, has_progressed)
            if has_progressed:
                self._arrived_bytes = 0
        if self._is_answering():
            # The application has times of its own for a body.
            self._stop_timer()
        elif self._is_receiving:
            # Further parts don't begin its time anew.
            if self._timer is None:
                self._unset_keepalive_if_required()
                self._timer = self.loop.call_later(REQUEST_SECONDS, self._give_up)
        elif self.cycle is not None:
            self._stop_timer()
            if self.timeout_keep_alive_task is None:
                self.timeout_keep_alive_task = self.loop.call_later(
                    self.timeout_keep_alive, self.timeout_keep_alive_handler
                )

    def _is_deciding(self) -> bool:
        """Return whether a request that has arrived as a whole is being answered."""
        return self._is_answering() and not self._is_receiving

    def _is_answering(self) -> bool:
        return self.cycle is not None and not self.cycle.response_complete

    def _give_up(self) -> None:
        # A request with a head has been answered, as it isn't being answered.
        response = b"" if self._has_head else SLOW_REQUEST
        self._close("a request did not arrive as a whole", response)

    def _refuse_body(self, reason: str, response: bytes) -> None:
        """End a request whose body is arriving, and which may have a response."""
        self._close(reason, b"" if self.cycle.response_started else response)

    def _close(self, reason: str, response: bytes) -> None:
        self.logger.warning("Connection closed: %s", reason)
        if response:
            self.transport.write(response)
        self.transport.close()

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _stop_unread_timer(self) -> None:
        if self._unread_timer is not None:
            self._unread_timer.cancel()
            self._unread_timer = None


def limit_connections(
    limit: ConnectionLimit, max_head_bytes: Callable[[], int]
) -> type[BoundedConnection]:
    """Return the class of the connections that share limits."""
    members = {"limit": limit, "max_head_bytes": staticmethod(max_head_bytes)}
    return type("LimitedConnection", (BoundedConnection,), members)


def _read_body_bytes(headers: list[tuple[bytes, bytes]]) -> int:
    """Return the size of a body that its head tells, or 0.

    The parser has refused heads that tell it twice, or in another form.
    """
    sizes = [int(value) for name, value in headers if name == b"content-length"]
    return sizes[0] if sizes else 0
