"""Play a day several times, and print who owned when and what the day was worth."""

import json
import re
import subprocess
import sys
from collections.abc import Iterable
from dataclasses import dataclass, field
from statistics import mean

import fire

# A line that an instance has logged: seconds from the start of traffic, its name and
# the event.
LOG_LINE = re.compile(r"^ *(-?\d+\.\d+) (\S+) (\{.*\})$")
DISRUPTION_LINE = re.compile(r"^ +(-?\d+\.\d+) s(?: to +-?\d+\.\d+ s)? +(\S+.*)$")
WORTH_LINE = re.compile(r"^worth (-?\d+\.\d+) = ")
DISRUPTIONS_HEADING = "what happened"
# A later change of owner has another cause.
MAX_GAP_SECONDS = 6.0


@dataclass(frozen=True, slots=True)
class Takeover:
    """Hold when an instance became the owner, in seconds from the start of traffic."""

    at: float
    instance: str
    epoch: int


@dataclass(slots=True)
class Play:
    """Hold what the output of one play shows."""

    takeovers: list[Takeover] = field(default_factory=list)
    # When each disruption began, and its description.
    disruptions: list[tuple[float, str]] = field(default_factory=list)
    worth: float | None = None

    def gaps(self) -> list[float]:
        """Return the seconds from each change of owner's disruption to the change.

        Changes that no disruption precedes by at most MAX_GAP_SECONDS are left out.
        """
        gaps: list[float] = []
        for takeover in self.takeovers:
            before = [at for at, _ in self.disruptions if at <= takeover.at]
            if before and takeover.at - max(before) <= MAX_GAP_SECONDS:
                gaps.append(takeover.at - max(before))
        return gaps


def read_play(lines: Iterable[str]) -> Play:
    """Return what the lines of a play's output show."""
    play = Play()
    is_in_disruptions = False
    for line in lines:
        if match := LOG_LINE.match(line):
            _read_event(play, float(match[1]), match[2], match[3])
        elif match := WORTH_LINE.match(line):
            play.worth = float(match[1])
        elif line.startswith(DISRUPTIONS_HEADING):
            is_in_disruptions = True
        elif is_in_disruptions and (match := DISRUPTION_LINE.match(line)):
            play.disruptions.append((float(match[1]), match[2].strip()))
        else:
            is_in_disruptions = False
    return play


def main(
    player: str, site: str, day: str, plays: int = 5, seed: int | None = None
) -> None:
    """Play a day, and print a row for each play and the mean worth.

    `player` is the program that plays days, `site` and `day` are its arguments.
    """
    worths: list[float] = []
    for number in range(plays):
        command = [player, "run", site, day, "--log", "all"]
        if seed is not None:
            command += ["--seed", str(seed)]
        output = subprocess.run(
            command,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            check=False,
        ).stdout
        play = read_play(output.splitlines())
        if play.worth is None:
            print(output[-2000:], file=sys.stderr)
            continue
        worths.append(play.worth)
        owners = ", ".join(f"{t.instance} {t.at:.2f} s" for t in play.takeovers)
        gaps = ", ".join(f"{gap:.2f} s" for gap in play.gaps()) or "none"
        print(
            f"play {number + 1}: worth {play.worth:.3f}; nobody owned for {gaps}; "
            f"owners: {owners}",
            flush=True,
        )
    if worths:
        print(f"mean worth {mean(worths):.3f} of {len(worths)} plays")


def _read_event(play: Play, at: float, instance: str, text: str) -> None:
    try:
        event = json.loads(text)
    except ValueError:
        # The line was cut off.
        return
    if event.get("event") == "taken-over":
        play.takeovers.append(Takeover(at, instance, event["epoch"]))


if __name__ == "__main__":
    fire.Fire(main)
