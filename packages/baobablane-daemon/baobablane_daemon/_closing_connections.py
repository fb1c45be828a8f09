"""End connections together with a response."""

from collections.abc import Callable

from starlette.types import ASGIApp, Message, Receive, Scope, Send

CLOSE_HEADER = (b"connection", b"close")
BODY_HEADERS = {b"content-length", b"transfer-encoding"}


def close_connections(app: ASGIApp, should_close: Callable[[], bool]) -> ASGIApp:
    """Return an app whose responses end their connections while `should_close`.

    A client that is told so opens another connection, where one that is closed without
    a word may meet the client's next request. A connection stays open if its request
    has a body that was not read: the close would reset it, and the client might lose
    the response.
    """

    async def closing_app(scope: Scope, receive: Receive, send: Send) -> None:
        is_read = not any(name in BODY_HEADERS for name, _ in scope.get("headers", ()))

        async def receive_message() -> Message:
            nonlocal is_read
            message = await receive()
            is_read = is_read or not message.get("more_body", False)
            return message

        async def send_message(message: Message) -> None:
            is_start = message["type"] == "http.response.start"
            if is_start and is_read and should_close():
                headers = [*message.get("headers", ()), CLOSE_HEADER]
                message = {**message, "headers": headers}
            await send(message)

        await app(scope, receive_message, send_message)

    return closing_app
