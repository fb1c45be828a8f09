"""Make the body with which a caller hands in a job."""


def make_job_body(
    spec: str,
    counts: list[int],
    *,
    is_lasting: bool = False,
    may_run_twice: bool = False,
    may_miss: int = 0,
    interval_ms: int = 0,
    occurrences: int = 0,
) -> dict[str, object]:
    """Return the body of a job of steps, each of which follows all before it."""
    options: dict[str, object] = {"speculative": may_run_twice}
    if is_lasting:
        options = {"longRunning": True, "lossy": may_miss}
    steps = [
        {"count": count, "cpu": 1000, "after": list(range(position)), **options}
        for position, count in enumerate(counts)
    ]
    repetition = {"intervalMs": interval_ms, "repeatCount": occurrences}
    return {"spec": spec, "steps": steps, **(repetition if occurrences else {})}
