"""Serve HTTP and leave signals to the process."""

from collections.abc import Iterator
from contextlib import contextmanager

import uvicorn


class EmbeddedServer(uvicorn.Server):
    """Leave signals to the process, which stops its servers itself."""

    @contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Change no signal handler."""
        yield
