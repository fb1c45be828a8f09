"""Let tasks wait for named values that another task provides."""

import asyncio
from typing import Generic, TypeVar

T = TypeVar("T")


class Waiters(Generic[T]):
    """Resolve the futures that wait for a name."""

    def __init__(self) -> None:
        """Start without waiters."""
        self._futures_by_name: dict[str, list[asyncio.Future[T]]] = {}

    async def wait(self, name: str, seconds: float) -> T | None:
        """Return the value for a name, or None after a timeout in seconds."""
        future: asyncio.Future[T] = asyncio.get_running_loop().create_future()
        self._futures_by_name.setdefault(name, []).append(future)
        try:
            # Unlike asyncio.wait_for, this doesn't cancel the future on a timeout, so a
            # value that is set at the last moment is still returned.
            await asyncio.wait([future], timeout=max(0.0, seconds))
            return future.result() if future.done() else None
        finally:
            self._remove(name, future)

    def resolve(self, name: str, value: T) -> bool:
        """Pass a value to all waiters for a name and return whether there were any."""
        resolved = False
        for future in self._futures_by_name.get(name, []):
            if not future.done():
                future.set_result(value)
                resolved = True
        return resolved

    def _remove(self, name: str, future: "asyncio.Future[T]") -> None:
        futures = self._futures_by_name.get(name, [])
        if future in futures:
            futures.remove(future)
        if not futures:
            self._futures_by_name.pop(name, None)
