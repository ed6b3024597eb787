"""Use of the fleet by team, and the distance of each from its fair share.

Nodes send each other their figures periodically, in messages whose size
depends only on the number of teams.
"""

import attrs

from celeryshift_core import _ownership
from celeryshift_core import _shares
from celeryshift_core import _state
from celeryshift_core import _timers
from celeryshift_core import effects
from celeryshift_core import messages

USAGE_INTERVAL_S = 10.0
# Three sends to a remote peer, which are 30 s apart, and a margin.
USAGE_STALE_S = 95.0
# A peer of another data centre gets one message in this many.
REMOTE_PEER_TURNS = 3


@attrs.frozen(slots=True)
class Distance:
    """Use and fair share of a team, as fractions of the fleet."""

    used: float
    fair_share: float

    @property
    def distance(self) -> float:
        """Return the use above the fair share, negative if below."""
        return self.used - self.fair_share


def send_usage(
    state: _state.State, timer: object, outbox: _state.Outbox
) -> None:
    """Send the use and the demand of the teams at this node to peers.

    Peers of other data centres get it in turn, one in REMOTE_PEER_TURNS of
    them each time.
    """
    state.timers.set(_timers.SendUsage(), state.now + USAGE_INTERVAL_S)
    for team, entry in distances(state).items():
        state.gauges[f'teams.{team}.distance'] = entry.distance
    message = _own_usage(state)
    if message.capacity:
        turn = int(state.now / USAGE_INTERVAL_S)
        for index, peer in enumerate(_ownership.live_peers(state)):
            is_local = peer.data_centre == state.options.data_centre
            if is_local or (turn + index) % REMOTE_PEER_TURNS == 0:
                outbox.append(
                    effects.SendMessage(peer.id, peer.address, message)
                )


def handle_usage(
    state: _state.State,
    sender: str,
    message: messages.Usage,
    outbox: _state.Outbox,
) -> None:
    """Store the use of the teams at a peer."""
    state.usage_by_node[message.node] = (state.now, message)
    for node, (last_heard_at, _) in list(state.usage_by_node.items()):
        if state.now - last_heard_at > USAGE_STALE_S:
            del state.usage_by_node[node]


def distances(state: _state.State) -> dict[str, Distance]:
    """Return the distance of each team from its fair share.

    Computed in slots: at a node, a team uses its dominant share times the
    slots of the node, and each waiting task counts as one slot.
    """
    usages = [_own_usage(state)]
    usages += [
        message
        for last_heard_at, message in state.usage_by_node.values()
        if state.now - last_heard_at <= USAGE_STALE_S
    ]
    capacity = sum(usage.capacity for usage in usages)
    used_by_team: dict[str, float] = {}
    demand_by_team: dict[str, float] = {}
    for usage in usages:
        for team, used in usage.used_by_team.items():
            used_by_team[team] = used_by_team.get(team, 0.0) + used
            demand_by_team[team] = demand_by_team.get(team, 0.0) + used
        for team, waiting in usage.waiting_by_team.items():
            demand_by_team[team] = demand_by_team.get(team, 0.0) + waiting
    fair_slots_by_team = _divide_fairly(state, demand_by_team, float(capacity))
    if not capacity:
        return {}
    return {
        team: Distance(
            used_by_team.get(team, 0.0) / capacity, fair_slots / capacity
        )
        for team, fair_slots in fair_slots_by_team.items()
    }


def _divide_fairly(
    state: _state.State, demand_by_team: dict[str, float], capacity: float
) -> dict[str, float]:
    """Divide the fleet by weight, giving no team more than it demands.

    Source: Bertsekas and Gallager, Data Networks, 1992, section 6.5.2.
    """
    teams = state.config.teams
    weight_by_team = {
        team: teams.get(team, _shares.DEFAULT_TEAM).share
        for team in demand_by_team
    }
    wanted_by_team = {
        team: min(
            demand, float(teams.get(team, _shares.DEFAULT_TEAM).limit_slots)
        )
        for team, demand in demand_by_team.items()
    }
    fair_slots_by_team = {}
    remaining_weight = sum(weight_by_team.values())
    order = sorted(
        weight_by_team,
        key=lambda team: (wanted_by_team[team] / weight_by_team[team], team),
    )
    for team in order:
        portion = (
            capacity * weight_by_team[team] / remaining_weight
            if remaining_weight
            else 0.0
        )
        fair_slots_by_team[team] = min(wanted_by_team[team], portion)
        capacity -= fair_slots_by_team[team]
        remaining_weight -= weight_by_team[team]
    return fair_slots_by_team


def _own_usage(state: _state.State) -> messages.Usage:
    capacity = 0
    used_by_team: dict[str, int] = {}
    waiting_by_team: dict[str, int] = {}
    for slice_ in state.slices_by_number.values():
        slots = slice_.ledger.capacity.slots
        capacity += slots
        for team in slice_.used_by_team:
            used = round(_shares.dominant_share(slice_, team) * slots)
            used_by_team[team] = used_by_team.get(team, 0) + used
        for team, waiting in slice_.queue.waiting_by_team().items():
            before = waiting_by_team.get(team, 0)
            waiting_by_team[team] = before + waiting
    return messages.Usage(state.node, capacity, used_by_team, waiting_by_team)
