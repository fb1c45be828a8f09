"""End connections together with a response."""

from collections.abc import Callable

from starlette.types import ASGIApp, Message, Receive, Scope, Send

CLOSE_HEADER = (b"connection", b"close")


def close_connections(app: ASGIApp, should_close: Callable[[], bool]) -> ASGIApp:
    """Return an app whose responses end their connections while `should_close`.

    A client that is told so opens another connection, where one that is closed without
    a word may meet the client's next request.
    """

    async def closing_app(scope: Scope, receive: Receive, send: Send) -> None:
        async def send_message(message: Message) -> None:
            if message["type"] == "http.response.start" and should_close():
                headers = [*message.get("headers", ()), CLOSE_HEADER]
                message = {**message, "headers": headers}
            await send(message)

        await app(scope, receive, send_message)

    return closing_app
