"""Run all measurements except those of `bench.capacity`."""

from .decisions import measure_decisions
from .fairness import measure_fairness
from .path import measure_request_path
from .rollout import measure_rollout
from .waves import measure_waves

if __name__ == "__main__":
    measure_decisions()
    measure_waves()
    measure_fairness()
    measure_request_path()
    measure_rollout()
