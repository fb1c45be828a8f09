"""Build the status report of an engine."""

from ._engine import Engine
from ._status import PoolStatus, ServiceStatus, StatusReport, TeamStatus


def make_status(engine: Engine) -> StatusReport:
    """Return the status of an entry instance for operators."""
    now = engine.now()
    members = engine.cluster.state.active_members()
    return StatusReport(
        instance=engine.settings.instance.id,
        incarnation=engine.incarnation,
        zone=engine.settings.instance.zone,
        revision=engine.view.revision,
        config_next=engine.config.next_offset,
        membership_next=engine.cluster.fold.next_offset,
        ready=engine.is_ready(),
        view_age_seconds=round(
            min(now - engine.cluster.view_lease.confirmed_at, 1e9), 3
        ),
        members=tuple(sorted(member.instance for member in members)),
        in_flight_by_upstream={
            name: count
            for name in engine.view.instances_by_id
            if (count := engine.dispatcher.in_flight(name))
        },
        teams=tuple(
            TeamStatus(
                name,
                engine.cluster.escrow.running[name],
                engine.cluster.escrow.usable(name),
                team.limit,
            )
            for name, team in sorted(engine.view.teams_by_name.items())
        ),
        pools=tuple(
            PoolStatus(
                name,
                pool.capacity,
                pool.running,
                len(pool.backlog),
                round(pool.budget, 3),
            )
            for name, pool in sorted(engine.dispatcher.pools.items())
        ),
        services=tuple(
            ServiceStatus(
                name, *budget.totals(now), round(budget.fraction_left(now), 4)
            )
            for name, budget in sorted(engine.budgets.items())
        ),
    )
