"""Serve HTTP without installing signal handlers."""

from collections.abc import Iterator
from contextlib import contextmanager

import uvicorn


class EmbeddedServer(uvicorn.Server):
    """Serve HTTP inside a process that handles signals and stops its servers itself."""

    @contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Leave the process's signal handlers unchanged."""
        yield
