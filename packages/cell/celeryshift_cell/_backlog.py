"""Totals of work and capacity, from which completions are predicted.

The totals are refreshed on every tick; jobs that are accepted in between are
added. Live jobs are only visited while more work waits than fits.
"""

import math

from celeryshift_cell import _headroom
from celeryshift_cell import _jobs
from celeryshift_cell import _ordering
from celeryshift_cell import _run_times
from celeryshift_cell import _state
from celeryshift_cell import _tallies
from celeryshift_cell import _usage
from celeryshift_cell import model

# A running task has half of its work left in the mean.
RUNNING_SHARE = 0.5
# Time constant of the mean rate of accepted work.
INFLOW_S = 10.0
NO_USAGE = _usage.Usage()
# Reasons to wait that show that work does not fit, as ``_placement`` logs.
WAITS_FOR_ROOM = ('room', 'room kept for urgent work')


def refresh(cell: _state.Cell) -> None:
    """Recompute the totals."""
    backlog = cell.backlog
    backlog.refreshed_at = cell.now
    _count_capacity(cell)
    _decay_inflow(cell)
    backlog.work_by_key.clear()
    backlog.work_by_team.clear()
    if not update_saturation(cell):
        return
    for job in cell.jobs.values():
        if job.state not in _jobs.FINAL:
            _add_work(
                cell, job, remaining_work(cell, job), _class_of(cell, job)
            )


def _count_capacity(cell: _state.Cell) -> None:
    backlog = cell.backlog
    backlog.capacity_by_upstream.clear()
    for worker in cell.workers.values():
        capacity = backlog.capacity(worker.entry.upstream)
        whole = worker.entry.capacity
        if worker.is_listed and not worker.is_fenced:
            capacity.unfenced_cpu += whole.cpu_milli
        if not _is_available(worker):
            continue
        lasting = backlog.lasting_by_worker.get(worker.id, NO_USAGE)
        capacity.cpu_milli += whole.cpu_milli - lasting.cpu_milli
        capacity.memory_mb += whole.memory_mb - lasting.memory_mb
        capacity.accelerators += whole.accelerators
        capacity.free_cpu += max(0, worker.free_cpu)
        capacity.free_memory += max(0, worker.free_memory)


def whole_capacity(cell: _state.Cell) -> model.Size:
    """Return the capacity of all upstreams."""
    capacities = cell.backlog.capacity_by_upstream.values()
    return model.Size(
        sum(capacity.cpu_milli for capacity in capacities),
        sum(capacity.memory_mb for capacity in capacities),
        sum(capacity.accelerators for capacity in capacities),
    )


def _is_available(worker: _state.Worker) -> bool:
    """Return whether a worker serves the work that waits.

    Short pauses (one answer missing, quarantine) don't count: a fault of the
    network that lasts a second must not make admission reject jobs.
    """
    return (
        worker.is_fenced
        and worker.is_listed
        and not worker.is_silent
        and not worker.entry.is_draining
        and not worker.is_evacuated
    )


def _decay_inflow(cell: _state.Cell) -> None:
    backlog = cell.backlog
    elapsed_s = max(0.0, cell.now - backlog.inflow_updated_at)
    backlog.inflow_updated_at = cell.now
    factor = math.exp(-elapsed_s / INFLOW_S)
    for key, work in list(backlog.inflow_by_key.items()):
        work.add(work, factor - 1)
        if work.starts < 0.01:
            del backlog.inflow_by_key[key]


def update_saturation(cell: _state.Cell) -> bool:
    """Find the upstreams in which more work waits than fits."""
    demand_by_upstream: dict[str, _tallies.Work] = {}
    saturated = set()
    for step in cell.waiting.values():
        if _headroom.is_exempt(step) or step.blocked_by_limit:
            continue
        upstream = step.job.queue.upstream
        if step.wait_reason in WAITS_FOR_ROOM:
            saturated.add(upstream)
        demand = demand_by_upstream.setdefault(upstream, _tallies.Work())
        count = len(step.pending)
        demand.cpu += count * step.spec.size.cpu_milli
        demand.memory += count * step.spec.size.memory_mb
        demand.starts += count
    starts = sum(demand.starts for demand in demand_by_upstream.values())
    for upstream, demand in demand_by_upstream.items():
        capacity = cell.backlog.capacity(upstream)
        if (
            demand.cpu > capacity.free_cpu
            or demand.memory > capacity.free_memory
            or 0 < cell.start_rate < starts
        ):
            saturated.add(upstream)
    cell.backlog.saturated = saturated
    return bool(saturated)


def add_job(cell: _state.Cell, job: _state.JobRun) -> None:
    """Add a job that was just accepted."""
    work = work_of(cell, job.spec)
    if not work.starts:
        return
    _decay_inflow(cell)
    key = job.queue.upstream, job.rank
    cell.backlog.inflow_by_key.setdefault(key, _tallies.Work()).add(work)
    if cell.backlog.saturated:
        _add_work(cell, job, work, _ordering.IN_TIME)


def _add_work(
    cell: _state.Cell,
    job: _state.JobRun,
    work: _tallies.Work,
    step_class: int,
) -> None:
    backlog = cell.backlog
    key = job.queue.upstream, job.rank, step_class
    backlog.work_by_key.setdefault(key, _tallies.Work()).add(work)
    if step_class != _ordering.WORTHLESS:
        team_key = job.spec.team, job.rank
        backlog.work_by_team.setdefault(team_key, _tallies.Work()).add(work)


def work_of(cell: _state.Cell, job: model.Job) -> _tallies.Work:
    """Return the work of a job, without lasting tasks and fillers.

    Jobs that run at set times have none: their work is not due yet.
    """
    work = _tallies.Work()
    for step in () if job.times else job.steps:
        if not (step.is_lasting or step.is_filler):
            _add_step(cell, work, job.queue, step, step.count, step.count)
    return work


def remaining_work(cell: _state.Cell, job: _state.JobRun) -> _tallies.Work:
    """Return the work of a job that is left and due."""
    work = _tallies.Work()
    for step in job.steps.known:
        is_due = step.is_ready or not job.spec.times
        if step.remaining_tasks and is_due and not _headroom.is_exempt(step):
            waiting = len(step.pending)
            running = max(0, step.remaining_tasks - waiting)
            count = waiting + RUNNING_SHARE * running
            _add_step(cell, work, job.spec.queue, step.spec, count, waiting)
    for number, spec in enumerate(() if job.spec.times else job.spec.steps):
        # Steps that wait for others are not in memory.
        is_left = not job.steps.is_done(0, number) and not (
            job.steps.get((0, number))
        )
        if is_left and not (spec.is_lasting or spec.is_filler):
            count = spec.count
            _add_step(cell, work, job.spec.queue, spec, count, count)
    return work


def _add_step(
    cell: _state.Cell,
    work: _tallies.Work,
    queue: str,
    step: model.Step,
    count: float,
    starts: int,
) -> None:
    core_ms = count * _run_times.expected_ms(cell, queue, step)
    work.cpu += core_ms * step.size.cpu_milli
    work.memory += core_ms * step.size.memory_mb
    work.starts += starts


def _class_of(cell: _state.Cell, job: _state.JobRun) -> int:
    """Return the class of a job's first step that has not completed."""
    for step in job.steps.known:
        if step.is_ready and step.remaining_tasks:
            return _ordering.classify(cell, step)
    return _ordering.IN_TIME
