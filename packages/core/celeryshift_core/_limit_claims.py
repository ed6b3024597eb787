"""Claims of slots when a team's limit is fully allotted to slices.

A slice that needs more slots than it holds, and holds less than an equal
share of the team's limit, claims slots up to that share. Slices that hold more
than an equal share then owe slots in proportion to what they hold: they start
no tasks on these slots and return them as tasks end. The debt lapses at the
next review of the allotments of their node.
"""

from celeryshift_core import _state
from celeryshift_core import _timers
from celeryshift_core import effects
from celeryshift_core import messages

RETURN_DELAY_S = 0.25


def equal_share(state: _state.State, team: str) -> int:
    """Return a team's limit divided by the number of slices of the fleet."""
    centres = {
        peer.data_centre for peer in state.membership.peers_by_id.values()
    }
    centres.add(state.options.data_centre)
    slices = state.options.slices * len(centres)
    team_config = state.config.teams.get(team)
    return max(1, team_config.limit_slots // slices) if team_config else 0


def claim_slots(state: _state.State, outbox: _state.Outbox) -> bool:
    """Claim slots for the slices of this node; return whether it did."""
    slots_by_team: dict[str, int] = {}
    for slice_ in state.slices_by_number.values():
        waiting_by_team = slice_.queue.waiting_by_team()
        for team, need in slice_.allotment.need_by_team.items():
            held_slots = slice_.allotment.slots_by_team.get(team, 0)
            wanted = max(need, waiting_by_team.get(team, 0))
            slots = min(wanted, equal_share(state, team) - held_slots)
            if (
                need > 0
                and slots > 0
                and _is_fully_allotted(state, team, need)
            ):
                slots_by_team[team] = slots_by_team.get(team, 0) + slots
    if not slots_by_team:
        return False
    message = messages.SlotsClaimed(slots_by_team)
    for peer in state.membership.peers_by_id.values():
        if peer.last_heard_at is not None:
            outbox.append(effects.SendMessage(peer.id, peer.address, message))
    handle_slots_claimed(state, state.node, message, outbox)
    return True


def handle_slots_claimed(
    state: _state.State,
    sender: str,
    message: messages.SlotsClaimed,
    outbox: _state.Outbox,
) -> None:
    """Record the slots owed, in proportion to the slots held."""
    for team, slots in message.slots_by_team.items():
        total = max(1, state.escrow.pool(team).allotted_slots)
        for slice_ in state.slices_by_number.values():
            allotment = slice_.allotment
            held_slots = allotment.slots_by_team.get(team, 0)
            excess = held_slots - equal_share(state, team)
            if excess > 0:
                owed = allotment.owed_by_team.get(team, 0)
                owed += -(-slots * held_slots // total)
                allotment.owed_by_team[team] = min(owed, excess)
                at = state.now + RETURN_DELAY_S
                state.timers.set_once(_timers.MoveAllotments(), at)


def _is_fully_allotted(state: _state.State, team: str, need: int) -> bool:
    """Return whether the slots not allotted yet do not cover a need.

    Returns False for an unconfigured team, and while the pool row may be of an
    older configuration.
    """
    team_config = state.config.teams.get(team)
    pool = state.escrow.pool(team)
    is_current = pool.former_limit == 0 and team_config is not None
    return (
        is_current
        and team_config is not None
        and team_config.limit_slots - pool.allotted_slots < need
    )
