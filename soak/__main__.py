"""Run a soak from the command line."""

import argparse
import asyncio
import json
import shutil
import signal
import sys
import time
from dataclasses import asdict
from pathlib import Path

from ._calm_plan import make_calm_plan
from ._outcome import Outcome
from ._plan import make_plan
from ._plays import PLAYS, make_play
from ._report import describe_breach
from ._run_check import LATE_END_PROMISE
from ._soak import Soak

FOLDER = Path(__file__).resolve().parent.parent / "target" / "soak"
# Listed in KNOWN-RED.txt: the check can't tell the fault from what is allowed.
KNOWN_PROMISES = (LATE_END_PROMISE,)
EXIT_BROKEN = 1
EXIT_NOT_RUN = 2


def main() -> int:
    """Play the plan of one seed, and return the exit status."""
    parser = argparse.ArgumentParser(prog="soak", description=__doc__)
    parser.add_argument("--seed", type=int, default=time.time_ns() % 1_000_000)
    parser.add_argument("--seconds", type=float, default=25.0)
    parser.add_argument(
        "--calm", action="store_true", help="few faults, and much calm between them"
    )
    parser.add_argument("--play", choices=PLAYS, help="instead of a seed's plan")
    arguments = parser.parse_args()
    make = make_calm_plan if arguments.calm else make_plan
    plan = make(arguments.seed, arguments.seconds)
    if arguments.play:
        plan = make_play(arguments.play)
    print(plan, flush=True)
    folder = FOLDER / f"{plan.play or f'seed-{plan.seed}'}-{time.time_ns()}"
    folder.mkdir(parents=True)
    soak = Soak(plan, folder)
    soak.history.on_breach = lambda breach: print(f"broken: {breach}", flush=True)
    try:
        outcome = asyncio.run(_run(soak))
    except (asyncio.CancelledError, KeyboardInterrupt):
        print(f"seed {plan.seed}: interrupted")
        return EXIT_NOT_RUN
    for breach in outcome.breaches:
        lines = describe_breach(breach, plan.seed, soak.history.events, folder)
        print("\n".join(lines))
    with (FOLDER / "outcomes.jsonl").open("a") as outcomes:
        outcomes.write(json.dumps(asdict(outcome)) + "\n")
    print(outcome)
    if outcome.breaches:
        print(f"events and logs: {folder}")
    else:
        shutil.rmtree(folder)
    new = [b for b in outcome.breaches if b.promise not in KNOWN_PROMISES]
    return EXIT_BROKEN if new else 0


async def _run(soak: Soak) -> Outcome:
    task = asyncio.ensure_future(soak.run())
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, task.cancel)
    return await task


if __name__ == "__main__":
    sys.exit(main())
