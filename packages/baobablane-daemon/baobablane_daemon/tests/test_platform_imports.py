"""Test that a process on the users' platform starts without what it does not use.

After a loss of power all entry instances start at the same time; importing the models
and peer messages of the old callers' interface took more than a third of their start.
"""

import subprocess
import sys

UNUSED_MODULES = {"pydantic", "zmq", "fire", "baobablane_daemon.settings"}


class TestImports:
    """Test the modules that the platform's entry point loads."""

    def test_unused_modules_are_not_loaded(self):
        code = "import baobablane_daemon, sys; print(*sys.modules)"
        run = subprocess.run(
            [sys.executable, "-c", code], capture_output=True, text=True, check=True
        )
        assert UNUSED_MODULES & set(run.stdout.split()) == set()
