"""Slices of a given size, with queued tasks, for benchmarks."""

import random

import attrs

import celeryshift_core as core
from celeryshift_core import _ids
from celeryshift_core import _jobs
from celeryshift_core import _ledger
from celeryshift_core import _queue
from celeryshift_core import _shares
from celeryshift_core import _state
from celeryshift_core import _tasks

UPSTREAM = 'coding'
# Number of teams that a fleet is designed for.
TEAMS = 46
# Sizes: slots, millicores, MB of memory, accelerators.
WORKER_CAPACITY = core.Size(8, 32_000, 131_072, 0)
WORKERS_PER_RACK = 6
SIZES = (
    core.Size(1, 2_000, 4_096, 0),
    core.Size(1, 4_000, 16_384, 0),
    core.Size(2, 8_000, 8_192, 0),
    core.Size(1, 1_000, 24_576, 0),
    core.Size(4, 16_000, 32_768, 0),
)
# More slots than any benchmark has, so that no team reaches its limit.
LIMIT_SLOTS = 1_000_000
# No benchmark lasts until the lease of the node expires.
LEASE_S = 1e9


def configuration() -> core.Config:
    """Build a configuration with one batch kind for each task size."""
    kinds = {
        f'k{number}': core.Kind(UPSTREAM, core.Policy.BATCH, size=size)
        for number, size in enumerate(SIZES)
    }
    teams = {
        f't{number:02d}': core.Team(float(1 + number % 4))
        for number in range(TEAMS)
    }
    upstreams = {UPSTREAM: core.Upstream()}
    return core.Config(1, teams, upstreams=upstreams, kinds=kinds)


def build_slice(workers: int) -> tuple[_state.State, _state.Slice]:
    """Build a node that owns one slice with the given number of workers."""
    state = _state.State(core.Options('bench', 'dc1', slices=1))
    state.config = configuration()
    state.membership.lease_until = LEASE_S
    slice_: _state.Slice
    slice_ = _state.Slice(
        0,
        1,
        1,
        _queue.Queue(lambda team: _shares.weighted_share(state, slice_, team)),
    )
    slice_.phase = _state.SlicePhase.READY
    slice_.allotment.slots_by_team = dict.fromkeys(
        state.config.teams, LIMIT_SLOTS
    )
    for team in state.config.teams:
        state.escrow.pool(team).former_limit = 0
    state.slices_by_number[0] = slice_
    for number in range(workers):
        worker = _ledger.Worker(
            f'w{number:04d}',
            f'w{number:04d}',
            f'r{number // WORKERS_PER_RACK}',
            UPSTREAM,
            WORKER_CAPACITY,
        )
        worker.answered = True
        worker.syncing = True
        slice_.ledger.add(worker)
    return state, slice_


def fill_queue(
    state: _state.State, slice_: _state.Slice, tasks: int, seed: int
) -> None:
    """Queue the given number of tasks, of random sizes, over all teams."""
    rng = random.Random(seed)
    queued = 0
    number = 0
    while queued < tasks:
        team = f't{number % TEAMS:02d}'
        kind = f'k{rng.randrange(len(SIZES))}'
        count = min(rng.randint(1, 40), tasks - queued)
        size = state.config.kinds[kind].size
        job_id = _ids.scoped(team, f'j{seed}-{number}')
        job = _tasks.Job(job_id, team, kind, count, {'run_s': 1.0}, size)
        _jobs.accept(state, slice_, job)
        queued += count
        number += 1


@attrs.frozen(slots=True)
class Quantiles:
    """The median and the 99th percentile of some samples."""

    median: float
    p99: float

    @classmethod
    def from_samples(cls, samples: list[float]) -> 'Quantiles':
        """Return the quantiles of a list of samples."""
        ordered = sorted(samples)
        last = len(ordered) - 1
        return cls(ordered[last // 2], ordered[int(last * 0.99)])
