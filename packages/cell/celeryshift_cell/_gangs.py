"""Placement of gangs, whose tasks start all at once."""

from celeryshift_cell import _candidates
from celeryshift_cell import _cold
from celeryshift_cell import _crashes
from celeryshift_cell import _limits
from celeryshift_cell import _runs
from celeryshift_cell import _state
from celeryshift_cell import model


def place(cell: _state.Cell, step: _state.StepRun) -> int:
    """Start all tasks of a gang at once or none, and return their number."""
    if len(step.pending) < step.spec.count:
        return 0
    if step.active_runs:
        return 0
    if not _limits.allows(cell, step, _total_size(step.spec)):
        step.blocked_by_limit = True
        return 0
    tasks = [step.tasks.peek(index) for index in range(step.spec.count)]
    if not all(_crashes.may_start(task) for task in tasks):
        return 0
    is_new = not step.tasks.known
    if is_new and not cell.footprint.may_start:
        step.blocked_by_memory = True
        return 0
    workers = [
        (worker, ticket)
        for _, worker, ticket in _candidates.in_order(cell, step)
    ]
    workers.sort(key=lambda pair: _cold.is_cold(cell, pair[0]))
    plan = _plan_warm(cell, step, workers)
    if plan is None:
        plan = _plan(cell, step, workers)
    if plan is not None and any(map(_crashes.is_suspect, tasks)):
        plan = _plan_trial(cell, step, workers, plan)
    if plan is None:
        return 0
    number = _runs.next_number(cell, tasks)
    for task, (worker, ticket) in zip(tasks, plan, strict=True):
        _runs.start(cell, task, worker, number, ticket)
    return len(plan)


def _total_size(spec: model.Step) -> model.Size:
    size = spec.size
    return model.Size(
        size.cpu_milli * spec.count,
        size.memory_mb * spec.count,
        size.accelerators * spec.count,
    )


def _plan_warm(
    cell: _state.Cell,
    step: _state.StepRun,
    workers: list[tuple[_state.Worker, str]],
) -> list[tuple[_state.Worker, str]] | None:
    """Plan an urgent gang without cold workers, if there are any."""
    warm = [
        (worker, ticket)
        for worker, ticket in workers
        if not _cold.is_cold_for_urgent(cell, step, worker)
    ]
    if len(warm) == len(workers):
        return None
    return _plan(cell, step, warm)


def _plan(
    cell: _state.Cell,
    step: _state.StepRun,
    workers: list[tuple[_state.Worker, str]],
) -> list[tuple[_state.Worker, str]] | None:
    if step.spec.one_rack:
        racks = {worker.entry.rack for worker, _ in workers}
        for rack in sorted(racks):
            in_rack = [w for w in workers if w[0].entry.rack == rack]
            plan = _pack(cell, step, in_rack)
            if plan is not None:
                return plan
    return _pack(cell, step, workers)


def _plan_trial(
    cell: _state.Cell,
    step: _state.StepRun,
    workers: list[tuple[_state.Worker, str]],
    plan: list[tuple[_state.Worker, str]],
) -> list[tuple[_state.Worker, str]] | None:
    """Plan a gang on workers where nothing else has just started.

    If there are too few, those of the given plan are kept from other starts.
    """
    clean = [
        (worker, ticket)
        for worker, ticket in workers
        if _crashes.is_clean(cell, worker, step.job)
    ]
    trial = _plan(cell, step, clean)
    if trial is None:
        for worker, _ in plan:
            _candidates.reserve_for_trial(cell, step, worker)
    return trial


def _pack(
    cell: _state.Cell,
    step: _state.StepRun,
    workers: list[tuple[_state.Worker, str]],
) -> list[tuple[_state.Worker, str]] | None:
    spec = step.spec
    plan: list[tuple[_state.Worker, str]] = []
    for worker, ticket in workers:
        size = spec.size
        free_cpu, free_memory = _cold.free(cell, worker, step)
        limits = [free_memory // max(size.memory_mb, 1)]
        if not spec.is_filler:
            limits.append(free_cpu // max(size.cpu_milli, 1))
        if size.accelerators:
            limits.append(worker.free_accelerators // size.accelerators)
        if spec.most_per_worker:
            limits.append(
                spec.most_per_worker - step.runs_by_worker[worker.id]
            )
        plan += [(worker, ticket)] * max(0, min(limits))
        if len(plan) >= spec.count:
            return plan[: spec.count]
    return None
