"""Hold the tasks that wait for something to be read back or decided."""

import asyncio
from typing import Generic, TypeVar

T = TypeVar("T")


class Waiters(Generic[T]):
    """Hold futures by name."""

    def __init__(self) -> None:
        """Start without waiters."""
        self._futures_by_name: dict[str, list[asyncio.Future[T]]] = {}

    async def wait(self, name: str, seconds: float) -> T | None:
        """Return the value given for a name, or None after a time."""
        future: asyncio.Future[T] = asyncio.get_running_loop().create_future()
        self._futures_by_name.setdefault(name, []).append(future)
        try:
            # Unlike a timeout around the future, this leaves it usable until the end.
            await asyncio.wait([future], timeout=max(0.0, seconds))
            return future.result() if future.done() else None
        finally:
            self._remove(name, future)

    def resolve(self, name: str, value: T) -> bool:
        """Give a value to all who wait for a name; return whether any did."""
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
