"""Run an entry instance from a checkout, without installing the packages."""

import asyncio
import os
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
# The root itself is not added: its folder `platform` is named like a standard module.
sys.path[:0] = [
    str(ROOT / "packages" / "baobablane"),
    str(ROOT / "packages" / "baobablane-daemon"),
    str(ROOT / "platform"),
]

# The platform speaks plain HTTP. aiohttp reads all certificates of the system when it
# is imported, which takes longer than any other import.
os.environ["SSL_CERT_FILE"] = os.environ["SSL_CERT_DIR"] = os.devnull

from baobablane_daemon import run_on_platform  # noqa: E402
from baobablane_platform import settings_path  # noqa: E402

if __name__ == "__main__":
    asyncio.run(run_on_platform(settings_path()))
