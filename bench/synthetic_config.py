"""Build configurations of a given size for measurements."""

from baobablane.config import (
    ABSENT,
    Change,
    ConfigState,
    Entry,
    Instance,
    Pool,
    Queue,
    QueueClass,
    Service,
    Settings,
    Team,
    apply_record,
    entry_key,
)


def make_config_entries(
    instances: int, pools: int, teams: int, entry_instances: int
) -> list[Entry]:
    """Return the entries of a deployment with one service and one queue per pool."""
    team_names = tuple(f"team-{number}" for number in range(teams))
    entries: list[Entry] = [Settings(entry_instances, 0.1, 60.0)]
    entries += [
        Team(name, 1.0 + index % 5, 400) for index, name in enumerate(team_names)
    ]
    for number in range(pools):
        pool = f"pool-{number}"
        entries.append(Pool(pool, team_names))
        entries.append(Service(f"service-{number}", pool, 0.999, 86_400, 1))
        entries.append(
            Queue(
                f"queue-{number}",
                f"service-{number}",
                QueueClass.URGENT,
                False,
                True,
                False,
                10.0,
                0.5,
            )
        )
    entries += [
        Instance(
            f"w-{number}",
            "127.0.0.1",
            10_000,
            f"zone-{number % 20}",
            f"rack-{number // 40}",
            f"pool-{number % pools}",
            8,
            64,
            32.0,
            64.0,
        )
        for number in range(instances)
    ]
    return entries


def apply_entries(entries: list[Entry], state: ConfigState, offset: int) -> ConfigState:
    """Return the configuration state after a change that puts entries."""
    expects = {
        entry_key(entry): state.revision_of(entry_key(entry)) for entry in entries
    }
    change = Change(f"change-{offset}", "bench", expects, tuple(entries))
    state, result = apply_record(state, offset, change)
    assert result.accepted, result.reason
    return state


def build_state(entries: list[Entry]) -> ConfigState:
    """Return a configuration state that contains only the given entries."""
    state = apply_entries(entries, ConfigState(), 0)
    assert state.revision != ABSENT
    return state
