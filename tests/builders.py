"""Builders of test data."""

from bench import fleets

import celeryshift_client
import celeryshift_core as core
from celeryshift_core import _ledger
from celeryshift_core import _state
from celeryshift_core import effects
from celeryshift_core import events
from celeryshift_standins import world as worlds

SECRET = 'secret-of-the-tests'
UPSTREAM = 'coding'
OK = events.Outcome.OK
UNLIKE_SIZES = (
    core.Size(1, 1_000, 65_536, 0),
    core.Size(1, 12_000, 1_024, 0),
    core.Size(1, 1_000, 1_024, 0),
    core.Size(4, 4_000, 8_192, 0),
    core.Size(2, 2_000, 40_000, 0),
)


def fleet(replace: bool = True) -> celeryshift_client.Fleet:
    """Build a configuration with a kind of work for each policy."""
    builder = celeryshift_client.Fleet(replace)
    builder.upstream(UPSTREAM)
    builder.team('ministry', share=4, limit_slots=64)
    builder.team('public', share=1, limit_slots=64)
    builder.key('k1', 'ministry', SECRET)
    builder.queue('field')
    builder.queue('walk-in', open_for='public')
    builder.request('validate', UPSTREAM, urgent=True, timeout_s=5.0)
    builder.request('seal', UPSTREAM, repeatable=False, timeout_s=5.0)
    builder.batch('recode', UPSTREAM)
    builder.gang('panel', UPSTREAM)
    builder.service('keeper', UPSTREAM)
    return builder


def configuration(**entries_by_section: dict) -> dict:
    """Build the document of the fleet with additional or other entries."""
    document = fleet().document()
    for section, entries in entries_by_section.items():
        document[section] |= entries
    return document


def token() -> str:
    """Return the token that the callers of the fleet use."""
    return f'k1.{SECRET}'


def roomy() -> core.Size:
    """Return the capacity of a worker that fits many tasks."""
    return core.Size(64, 64_000, 262_144, 0)


def build_slice(
    workers: int, waiting: int
) -> tuple[_state.State, _state.Slice]:
    """Build a node that owns one slice, with tasks waiting for it."""
    state, slice_ = fleets.build_slice(workers)
    fleets.fill_queue(state, slice_, waiting, seed=1)
    return state, slice_


def book(
    slice_: _state.Slice, worker: _ledger.Worker, run_id: str, size: core.Size
) -> None:
    """Book capacity on a worker."""
    slice_.ledger.book(worker.name, run_id, _ledger.Booking('t00', size))


def end_run(
    state: _state.State,
    slice_: _state.Slice,
    worker: _ledger.Worker,
    run_id: str,
    phase: events.TaskPhase = events.TaskPhase.DONE,
) -> list[effects.Effect]:
    """Confirm the start of a run, then report its end by its worker.

    Returns the effects of the report.
    """
    started = events.TaskStarted(
        state.now, slice_.number, slice_.epoch, worker.name, run_id, OK
    )
    core.reduce(state, started)
    report = events.TaskReport(run_id, phase)
    event = events.WorkerSynced(
        state.now, slice_.number, slice_.epoch, worker.name, 'c', [report]
    )
    return core.reduce(state, event)


def one_centre(
    nodes: int = 1,
    workers: int = 4,
    settle_s: float = 3.0,
    custom_fleet: celeryshift_client.Fleet | None = None,
    **options: float,
) -> worlds.World:
    """Build one data centre in virtual time and let it settle."""
    world = worlds.World(seed=1, **options)
    for number in range(workers):
        world.add_worker(f'w{number}', 'dc1')
    world.configure((custom_fleet or fleet()).document())
    for number in range(nodes):
        world.add_node(f'n{number}', 'dc1')
    world.run(settle_s)
    return world
