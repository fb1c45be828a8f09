"""Define amounts of processor cores, memory and accelerators."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Resources:
    """Hold amounts in thousandths of a core, megabytes and accelerators."""

    cpu_millis: int = 0
    memory_mb: int = 0
    gpus: int = 0

    def __add__(self, other: "Resources") -> "Resources":
        """Return the sum."""
        return Resources(
            self.cpu_millis + other.cpu_millis,
            self.memory_mb + other.memory_mb,
            self.gpus + other.gpus,
        )

    def __sub__(self, other: "Resources") -> "Resources":
        """Return the difference, which may be negative."""
        return Resources(
            self.cpu_millis - other.cpu_millis,
            self.memory_mb - other.memory_mb,
            self.gpus - other.gpus,
        )

    def times(self, count: int) -> "Resources":
        """Return the amounts that `count` consumers of these need together."""
        return Resources(
            self.cpu_millis * count, self.memory_mb * count, self.gpus * count
        )

    def fits_in(self, available: "Resources") -> bool:
        """Return whether each amount is at most the available one."""
        return (
            self.cpu_millis <= available.cpu_millis
            and self.memory_mb <= available.memory_mb
            and self.gpus <= available.gpus
        )

    def fits_under_cap(self, cap: "Resources") -> bool:
        """Return whether each amount is at most its cap, where 0 means no limit."""
        return (
            (not cap.cpu_millis or self.cpu_millis <= cap.cpu_millis)
            and (not cap.memory_mb or self.memory_mb <= cap.memory_mb)
            and (not cap.gpus or self.gpus <= cap.gpus)
        )


NO_RESOURCES = Resources()
