"""Test where the HTTP server's own warnings go."""

import asyncio
import io

from baobablane_standin.platform._deployment import HOST

from baobablane_daemon._serving import make_server
from baobablane_daemon.decision_log import DecisionLog

from .platform_deployment import find_free_port


async def reject_all(scope, receive, send):
    """Never called, since no request is valid."""


class TestInvalidRequest:
    """Test a client that doesn't speak HTTP."""

    async def test_warning_is_a_line_of_the_log(self, capfd):
        """Guards against a process that waits for the reader of its standard error."""
        stream = io.BytesIO()
        DecisionLog("entry-0", stream)
        port = find_free_port()
        server = make_server(reject_all, HOST, port, 1.0)
        task = asyncio.create_task(server.serve())
        while not server.started:
            await asyncio.sleep(0.01)
        reader, writer = await asyncio.open_connection(HOST, port)
        writer.write(b"no request\r\n\r\n")
        assert b" 400 " in await reader.readline()
        writer.close()
        server.should_exit = True
        await task
        assert b"Invalid HTTP request" in stream.getvalue()
        assert capfd.readouterr().err == ""
