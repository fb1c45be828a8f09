"""Print the status reports of entry instances as tables."""

from ._console import print_table


def print_status(reports: list[dict[str, object]]) -> None:
    """Print a row per report, then combined rows per service, team and pool."""
    print_table(
        ("entry", "zone", "ready", "revision", "view age s"),
        [
            tuple(
                str(report[name])
                for name in (
                    "instance",
                    "zone",
                    "ready",
                    "revision",
                    "view_age_seconds",
                )
            )
            for report in reports
        ],
    )
    for title, list_field, name_field, columns in (
        ("service", "services", "service", ("requests", "failures", "budget_left")),
        ("team", "teams", "team", ("running", "usable", "limit")),
        ("pool", "pools", "pool", ("capacity", "running", "waiting")),
    ):
        print()
        rows = _aggregate_rows(reports, list_field, name_field, columns)
        print_table((title, *columns), rows)


def _aggregate_rows(
    reports: list[dict[str, object]],
    list_field: str,
    name_field: str,
    columns: tuple[str, ...],
) -> list[tuple[str | float, ...]]:
    totals: dict[str, list[float]] = {}
    for report in reports:
        items = report[list_field]
        assert isinstance(items, list)
        for item in items:
            values = totals.setdefault(item[name_field], [0.0] * len(columns))
            for index, column in enumerate(columns):
                values[index] = _combine(column, values[index], float(item[column]))
    return [(key, *(f"{v:g}" for v in values)) for key, values in totals.items()]


def _combine(column: str, total: float, value: float) -> float:
    if column in ("limit", "capacity"):
        return max(total, value)
    if column == "budget_left":
        return value if total == 0.0 else min(total, value)
    return total + value
