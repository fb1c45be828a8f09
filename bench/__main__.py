"""Run all measurements."""

from .decisions import measure_decisions
from .path import measure_path

if __name__ == "__main__":
    measure_decisions()
    measure_path()
