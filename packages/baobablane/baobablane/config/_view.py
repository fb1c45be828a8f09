"""Index the configuration in force by type and key."""

from dataclasses import dataclass, field
from typing import Any

from ._entry import (
    Instance,
    Key,
    Placement,
    PlacementPhase,
    Pool,
    Queue,
    Service,
    Settings,
    Team,
    Wave,
)
from ._fold import ConfigState

DEFAULT_SETTINGS = Settings(entry_instances=9, urgent_floor=0.1, reboot_seconds=60.0)


@dataclass(slots=True)
class ConfigView:
    """Hold the entries of one revision by type and name.

    `serving_by_pool` has the instances of each pool that may receive new work.
    """

    revision: int
    instances_by_id: dict[str, Instance] = field(default_factory=dict)
    teams_by_name: dict[str, Team] = field(default_factory=dict)
    keys_by_id: dict[str, Key] = field(default_factory=dict)
    pools_by_name: dict[str, Pool] = field(default_factory=dict)
    services_by_name: dict[str, Service] = field(default_factory=dict)
    queues_by_name: dict[str, Queue] = field(default_factory=dict)
    placements_by_instance: dict[str, Placement] = field(default_factory=dict)
    waves_by_name: dict[str, Wave] = field(default_factory=dict)
    settings: Settings = DEFAULT_SETTINGS
    serving_by_pool: dict[str, tuple[Instance, ...]] = field(default_factory=dict)

    def pool_of_queue(self, queue: Queue) -> str:
        """Return the pool that runs a queue's requests.

        Raise KeyError if the queue's service is unknown.
        """
        return self.services_by_name[queue.service].pool

    def pool_of_instance(self, instance: str) -> str:
        """Return the pool that an instance belongs to.

        Raise KeyError if the instance is unknown.
        """
        placement = self.placements_by_instance.get(instance)
        if placement is not None:
            return placement.pool
        return self.instances_by_id[instance].pool

    def is_serving(self, instance: str) -> bool:
        """Return whether an instance may receive new work."""
        placement = self.placements_by_instance.get(instance)
        return placement is None or placement.phase is PlacementPhase.SERVING


def build_view(state: ConfigState) -> ConfigView:
    """Return the indexed entries of a configuration state."""
    view = ConfigView(state.revision)
    by_type: dict[type, dict[str, Any]] = {
        Instance: view.instances_by_id,
        Team: view.teams_by_name,
        Key: view.keys_by_id,
        Pool: view.pools_by_name,
        Service: view.services_by_name,
        Queue: view.queues_by_name,
        Placement: view.placements_by_instance,
        Wave: view.waves_by_name,
    }
    for key, versioned in state.entries_by_key.items():
        entry = versioned.entry
        if isinstance(entry, Settings):
            view.settings = entry
        else:
            by_type[type(entry)][key.partition("/")[2]] = entry
    view.serving_by_pool = _group_serving(view)
    return view


def _group_serving(view: ConfigView) -> dict[str, tuple[Instance, ...]]:
    grouped: dict[str, list[Instance]] = {name: [] for name in view.pools_by_name}
    placements = view.placements_by_instance
    for name, instance in view.instances_by_id.items():
        placement = placements.get(name)
        if placement is None:
            grouped[instance.pool].append(instance)
        elif placement.phase is PlacementPhase.SERVING:
            grouped[placement.pool].append(instance)
    return {pool: tuple(members) for pool, members in grouped.items()}
