"""Run an example deployment on loopback until interrupted."""

import argparse
import signal
import threading
from pathlib import Path

from baobablane_standin.local_fleet import LocalFleet

EXAMPLES = Path(__file__).parent.parent / "examples"
DEMO_CALLS = {
    "fundacion": ("previews", "bl_montevideodemo_montevideo-secret"),
    "inkwell": ("stencil-previews", "bl_cairodemo_cairo-secret"),
}


def main() -> None:
    """Start a fleet, print how to call it, and stop it when interrupted."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--example", choices=sorted(DEMO_CALLS), default="fundacion")
    example = parser.parse_args().example
    stop = threading.Event()
    for signal_number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(signal_number, lambda *_: stop.set())
    print("starting the log, the instance list, 30 executors and 3 entry instances")
    with LocalFleet() as fleet:
        fleet.apply(EXAMPLES / example)
        for index in range(fleet.entry_count):
            fleet.wait_ready(index)
            print(f"ready: {fleet.callers_url(index)}")
        queue, key = DEMO_CALLS[example]
        url = f"{fleet.callers_url(0)}/v1/queues/{queue}/requests"
        print(f"curl -i -H 'Authorization: Bearer {key}' -d '{{\"hello\": 1}}' {url}")
        print(f"export BAOBAB_LOG={fleet.log_url} BAOBAB_TOKEN=operator-demo")
        print("press Ctrl-C to stop", flush=True)
        stop.wait()
    print("stopped")


if __name__ == "__main__":
    main()
