"""Count one member's running work against its part of the teams' limits."""

from collections import defaultdict
from collections.abc import Collection, Mapping

from ._ledger import Ledger, LedgerLine
from ._units import units_per_team

# The incarnation of a peer, and a team.
PeerTeam = tuple[str, str]


class Escrow:
    """Track one member's units, loans and running requests for every team.

    A unit permits one running request of a team. As in the escrow method for shared
    counters, members lend each other the units that they do not need.
    """

    # Loans are exchanged as totals that only grow. A lost, repeated or late message can
    # therefore make units unusable for a while, but can't create any.

    def __init__(self, incarnation: str) -> None:
        """Start without slots or limits, for the member named `incarnation`."""
        self.incarnation = incarnation
        self.running: dict[str, int] = defaultdict(int)
        self._limits: dict[str, int] = {}
        self._slots: frozenset[int] = frozenset()
        self._base_units: dict[str, int] = {}
        self._revision = -1
        self._lowered_at_revision: dict[str, int] = {}
        self._lent: dict[PeerTeam, int] = defaultdict(int)
        self._lent_returned: dict[PeerTeam, int] = defaultdict(int)
        self._borrowed: dict[PeerTeam, int] = defaultdict(int)
        self._borrowed_returned: dict[PeerTeam, int] = defaultdict(int)
        # Units borrowed less units lent. Cached by team, as every start reads it.
        self._net_borrowed: dict[str, int] = defaultdict(int)
        self._excluded_peers: set[str] = set()
        self._wanted_by_peer: dict[str, dict[str, int]] = {}

    def set_limits(self, limits_by_team: Mapping[str, int], revision: int) -> None:
        """Apply a revision's upper limits.

        Give back idle borrowed units of every team whose limit has been lowered.
        """
        for team, previous_limit in self._limits.items():
            if limits_by_team.get(team, 0) < previous_limit:
                self._lowered_at_revision[team] = revision
        self._limits = dict(limits_by_team)
        self._revision = revision
        self._base_units = units_per_team(self._limits, self._slots)
        self._return_idle_units(set(self._lowered_at_revision))

    def set_slots(self, slots: Collection[int]) -> None:
        """Apply the slots that this member owns and is not about to release."""
        owned = frozenset(slots)
        if owned == self._slots:
            return
        self._slots = owned
        self._base_units = units_per_team(self._limits, self._slots)

    def usable(self, team: str) -> int:
        """Return how many requests of a team may run here now; it may be negative."""
        return self._base_units.get(team, 0) + self._net_borrowed[team]

    def available(self, team: str) -> int:
        """Return how many more requests of a team may start here."""
        return self.usable(team) - self.running[team]

    def start(self, team: str) -> bool:
        """Count a request as running if a unit is available; return whether it was."""
        if self.available(team) < 1:
            return False
        self.running[team] += 1
        return True

    def finish(self, team: str) -> None:
        """Count a request as ended; raise ValueError if none of the team runs."""
        if self.running[team] < 1:
            raise ValueError(f"no request of {team} is running")
        self.running[team] -= 1
        if team in self._lowered_at_revision:
            self._return_idle_units({team})

    def fits_without(self, slots: Collection[int]) -> bool:
        """Return whether all running work still fits without the given slots."""
        kept = self._slots - frozenset(slots)
        base = units_per_team(self._limits, kept)
        return all(
            self.running[team] <= units + self._net_borrowed[team]
            for team, units in base.items()
        )

    def is_settled(self) -> bool:
        """Return whether no request runs and no unit is lent or borrowed."""
        running = any(self.running.values())
        lent = any(self._lent[p] > self._lent_returned[p] for p in list(self._lent))
        pairs = list(self._borrowed)
        borrowed = any(self._borrowed[p] > self._borrowed_returned[p] for p in pairs)
        return not (running or lent or borrowed)

    def lend(self, waiting_by_team: Mapping[str, int]) -> list[str]:
        """Lend units to the peers that want them; return the peers that received some.

        Each peer in turn receives at most half of the units that are then spare.
        """
        peers: list[str] = []
        for peer, wanted_by_team in self._wanted_by_peer.items():
            if peer in self._excluded_peers:
                continue
            granted = [
                self._lend_team_units(peer, team, wanted, waiting_by_team.get(team, 0))
                for team, wanted in wanted_by_team.items()
            ]
            if any(granted):
                peers.append(peer)
        return peers

    def return_unwanted(self, waiting_by_team: Mapping[str, int]) -> list[str]:
        """Give back idle borrowed units of teams without waiting requests.

        Return the lender of each loan, so a lender of several teams' units repeats.
        """
        teams = {team for _, team in self._borrowed if not waiting_by_team.get(team)}
        return self._return_idle_units(teams)

    def drop_loans_from(self, peer: str) -> None:
        """Stop using the units lent by a member under notice."""
        self._excluded_peers.add(peer)
        for pair in [pair for pair in self._borrowed if pair[0] == peer]:
            del self._borrowed[pair]
            self._borrowed_returned.pop(pair, None)
            self._update_net_borrowed(pair[1])

    def reclaim_loans_to(self, peer: str) -> None:
        """Take back the units lent to a member whose leases have all expired."""
        self._excluded_peers.add(peer)
        for pair in [pair for pair in self._lent if pair[0] == peer]:
            del self._lent[pair]
            self._lent_returned.pop(pair, None)
            self._update_net_borrowed(pair[1])

    def borrowers(self) -> list[str]:
        """Return the peers that have not returned all units lent by this member."""
        return sorted(
            {
                peer
                for (peer, team), total in self._lent.items()
                if total > self._lent_returned[(peer, team)]
            }
        )

    def ledger_for(self, peer: str, wanted_by_team: Mapping[str, int]) -> Ledger:
        """Return the totals that this member has lent and returned to a peer."""
        teams = {t for p, t in self._lent if p == peer}
        teams |= {t for p, t in self._borrowed if p == peer}
        lines = tuple(
            LedgerLine(
                team,
                self._lent.get((peer, team), 0),
                self._borrowed_returned.get((peer, team), 0),
            )
            for team in sorted(teams)
        )
        return Ledger(
            self.incarnation, peer, self._revision, lines, dict(wanted_by_team)
        )

    def apply_ledger(self, ledger: Ledger) -> None:
        """Apply a peer's totals; totals older than those known have no effect."""
        if ledger.receiver != self.incarnation or ledger.sender in self._excluded_peers:
            return
        self._wanted_by_peer[ledger.sender] = ledger.wanted_by_team
        for line in ledger.lines:
            pair = (ledger.sender, line.team)
            self._apply_returned_total(pair, line.returned_total)
            self._apply_lent_total(pair, line.lent_total, ledger.revision)

    def _apply_returned_total(self, pair: PeerTeam, total: int) -> None:
        if total > self._lent_returned[pair]:
            self._lent_returned[pair] = total
            self._update_net_borrowed(pair[1])

    def _apply_lent_total(self, pair: PeerTeam, total: int, revision: int) -> None:
        added = total - self._borrowed[pair]
        if added <= 0:
            return
        self._borrowed[pair] = total
        # The lender may have lent units of a higher limit than the current one.
        if revision < self._lowered_at_revision.get(pair[1], -1):
            self._borrowed_returned[pair] += added
        self._update_net_borrowed(pair[1])

    def _lend_team_units(self, peer: str, team: str, wanted: int, waiting: int) -> bool:
        # Borrowed units are not lent on, so every loan goes back to one lender.
        own = (
            self._base_units.get(team, 0) - self._lent_units(team) - self.running[team]
        )
        spare = min(own, self.available(team)) - waiting
        granted = min(wanted, (spare + 1) // 2)
        if granted < 1:
            return False
        self._lent[(peer, team)] += granted
        self._update_net_borrowed(team)
        return True

    def _return_idle_units(self, teams: Collection[str]) -> list[str]:
        lenders: list[str] = []
        for pair in self._borrowed:
            if pair[1] not in teams:
                continue
            borrowed = self._borrowed[pair] - self._borrowed_returned[pair]
            idle = min(borrowed, max(0, self.available(pair[1])))
            if idle > 0:
                self._borrowed_returned[pair] += idle
                self._update_net_borrowed(pair[1])
                lenders.append(pair[0])
        return lenders

    def _update_net_borrowed(self, team: str) -> None:
        self._net_borrowed[team] = self._borrowed_units(team) - self._lent_units(team)

    def _lent_units(self, team: str) -> int:
        return sum(
            total - self._lent_returned[pair]
            for pair, total in self._lent.items()
            if pair[1] == team
        )

    def _borrowed_units(self, team: str) -> int:
        return sum(
            total - self._borrowed_returned[pair]
            for pair, total in self._borrowed.items()
            if pair[1] == team
        )
