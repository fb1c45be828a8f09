"""Check the rules of RULES.md against the record of a case."""

from collections import defaultdict


def find_twice(rows: list[dict]) -> list[str]:
    """Return what breaks TWICE: two runs of a task at once, or a start after `done`.

    An end counts if `ackCursor` reached it, then or later, unless the lease of its
    executor lapsed between the end and the start. Runs on executors that crashed have
    ended with them.
    """
    broken: list[str] = []
    open_runs: dict[str, dict[str, tuple[int, float]]] = defaultdict(dict)
    done: dict[str, list[dict]] = defaultdict(list)
    # By executor and boot.
    acknowledged: dict[tuple[str, int], int] = defaultdict(int)
    lapses: dict[tuple[str, int], list[float]] = defaultdict(list)
    for row in rows:
        if row["event"] == "acknowledged":
            boot = (row["executor"], row["born"])
            acknowledged[boot] = max(acknowledged[boot], row["number"])
        elif row["event"] == "lapse":
            lapses[row["executor"], row["born"]].append(row["at"])
    for row in rows:
        executor, task = row.get("executor", ""), row.get("task", "")
        if row["event"] == "crash":
            for runs in open_runs.values():
                runs.pop(executor, None)
        elif row["event"] == "end":
            open_runs[task].pop(executor, None)
            if (
                row["how"] == "done"
                and row["number"] <= acknowledged[executor, row["born"]]
            ):
                done[task].append(row)
        elif row["event"] == "start":
            for other, (run, at) in open_runs[task].items():
                broken.append(
                    f"{task}: run {row['run']} starts on {executor} at {row['at']} s,"
                    f" while run {run} runs on {other} since {at} s"
                )
            for end in done[task]:
                if any(
                    end["at"] <= at <= row["at"]
                    for at in lapses[end["executor"], end["born"]]
                ):
                    continue
                broken.append(
                    f"{task}: run {row['run']} starts on {executor} at {row['at']} s,"
                    f" though run {end['run']} ended done on {end['executor']} at"
                    f" {end['at']} s, an end that is taken note of"
                )
            open_runs[task][executor] = (row["run"], row["at"])
    return broken


def find_alone(rows: list[dict], calm_from: float) -> list[str]:
    """Return what breaks GANG: runs that began in calm and ended `alone`."""
    started = {
        (row["task"], row["run"]): row["at"] for row in rows if row["event"] == "start"
    }
    return [
        f"{row['task']}: run {row['run']} began at"
        f" {started[row['task'], row['run']]} s and ended alone at {row['at']} s"
        for row in rows
        if row["event"] == "end"
        and row["how"] == "alone"
        and started.get((row["task"], row["run"]), 0.0) >= calm_from
    ]
