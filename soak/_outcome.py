"""Describe the outcome of a soak."""

from dataclasses import dataclass

from ._breach import Breach


@dataclass(frozen=True, slots=True)
class Outcome:
    """Hold what a soak did and which promises were broken."""

    seed: int
    seconds: float
    accepted_jobs: int
    starts: int
    faults_by_kind: dict[str, int]
    breaches: list[Breach]
    # The name of the play; empty for a plan that was drawn from the seed.
    play: str = ""
    # The longest time of a long-running task without a run.
    longest_absence: str = "none"

    def __str__(self) -> str:
        name = f"play {self.play}" if self.play else f"seed {self.seed}"
        return (
            f"{name}: {sum(self.faults_by_kind.values())} faults,"
            f" {self.accepted_jobs} jobs accepted, {self.starts} starts in"
            f" {self.seconds:.0f} s, {len(self.breaches)} promises broken;"
            f" longest without a run: {self.longest_absence}"
        )
