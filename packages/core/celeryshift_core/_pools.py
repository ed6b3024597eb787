"""Pools of team slots: what is known of the rows that count them.

A row per team counts the slots that are allotted in total. What this node
knows of it may be outdated, so that up to the former limit may be allotted.
"""

import attrs

from celeryshift_core import _config
from celeryshift_core import _state
from celeryshift_core import _store
from celeryshift_core import schema

UNCONFIGURED_TEAM = _config.Team(limit_slots=0)


@attrs.frozen(slots=True)
class PoolsPurpose:
    """Purpose of a read of the total allotted slots of each team."""


def limit(state: _state.State, team: str) -> int:
    """Return the slot limit of a team, 0 if it is not configured."""
    return state.config.teams.get(team, UNCONFIGURED_TEAM).limit_slots


def handle_config_changed(
    state: _state.State, before: _config.Config, outbox: _state.Outbox
) -> None:
    """Assume that slots are allotted up to the former limits.

    Other nodes may have drawn them since the rows were last read.
    """
    lowered = False
    for name, pool in state.escrow.pools_by_team.items():
        former = before.teams.get(name, UNCONFIGURED_TEAM).limit_slots
        if not before.version:
            pool.former_limit = None
        elif pool.former_limit is not None:
            pool.former_limit = max(pool.former_limit, former)
        lowered = lowered or limit(state, name) < former
    if lowered or not before.version:
        read_pools(state, outbox)


def read_pools(state: _state.State, outbox: _state.Outbox) -> None:
    """Read the total of allotted slots of each team."""
    prefixes = (schema.CONFIG_HEAD, schema.POOLS)
    _store.read(state, outbox, PoolsPurpose(), prefixes=prefixes)


def is_in_excess(state: _state.State, team: str) -> bool:
    """Return whether more slots may be allotted than the limit allows."""
    bound = state.escrow.pool(team).bound
    return bound is not None and bound > limit(state, team)


def update_pools(state: _state.State, rows: dict[str, schema.Row]) -> None:
    """Update the pools of all teams from the rows that were read."""
    head = rows.get(schema.CONFIG_HEAD)
    version = head.value['version'] if head else 0
    current = version >= state.config.version
    for team in {*state.config.teams, *state.escrow.pools_by_team}:
        row = rows.get(schema.pool(team))
        if row is not None:
            slots = row.value['slots']
            update_pool(state, team, row.version, slots, current)
        elif not state.escrow.pool(team).row_version and current:
            state.escrow.pool(team).former_limit = 0


def update_pool(
    state: _state.State, team: str, row_version: int, slots: int, current: bool
) -> None:
    """Update the pool of a team from its row.

    Only a row that was read under the configuration in force is current:
    if it was read under an older one, more may have been drawn since.
    """
    pool = state.escrow.pool(team)
    if row_version >= pool.row_version:
        pool.row_version = row_version
        pool.allotted_slots = slots
        if current:
            pool.former_limit = 0
