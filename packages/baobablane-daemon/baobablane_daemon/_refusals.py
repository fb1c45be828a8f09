"""Hold the responses that end a connection before its request has arrived."""


def _make_refusal(status: str, *fields: str) -> bytes:
    lines = (f"HTTP/1.1 {status}", *fields, "content-length: 0", "connection: close")
    return "".join(f"{line}\r\n" for line in (*lines, "")).encode()


BAD_REQUEST = _make_refusal("400 Bad Request")
SLOW_REQUEST = _make_refusal("408 Request Timeout")
LARGE_HEAD = _make_refusal("431 Request Header Fields Too Large")
# To the users' callers it promises that a job never runs, and none runs without the
# end of its request.
BUSY = _make_refusal("503 Service Unavailable", "retry-after: 1")
