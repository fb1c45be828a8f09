"""Play short plans with real processes."""

import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parents[2]
SECONDS = 20.0
# Their plans include each group of faults.
SEEDS = (1, 2)


class TestPromises:
    """Test that no promise is broken under faults, with the real processes."""

    @pytest.mark.parametrize("seed", SEEDS)
    def test_seed_breaks_nothing(self, seed):
        command = [sys.executable, "-m", "soak"]
        options = ["--seed", str(seed), "--seconds", str(SECONDS)]
        result = subprocess.run(
            [*command, *options],
            cwd=ROOT,
            capture_output=True,
            text=True,
            check=False,
        )
        assert result.returncode == 0, result.stdout + result.stderr
