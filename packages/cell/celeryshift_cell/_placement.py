"""Decides which waiting tasks start next, and on which workers."""

from collections.abc import Iterator
import math

from celeryshift_cell import _advice
from celeryshift_cell import _completion
from celeryshift_cell import _crashes
from celeryshift_cell import _headroom
from celeryshift_cell import _in_doubt
from celeryshift_cell import _interference
from celeryshift_cell import _jobs
from celeryshift_cell import _limits
from celeryshift_cell import _ordering
from celeryshift_cell import _reservations
from celeryshift_cell import _run_times
from celeryshift_cell import _runs
from celeryshift_cell import _state
from celeryshift_cell import _workers
from celeryshift_cell import model

# Maximum number of tasks started in one pass; the event loop reads responses
# between passes.
MAX_STARTS = 256


def place_waiting(cell: _state.Cell) -> None:
    """Start the tasks that can be started, the most urgent steps first."""
    steps = [
        step
        for step in cell.waiting.values()
        if not step.is_blocked and not is_blocked_in_doubt(cell, step)
    ]
    if not steps:
        return
    _in_doubt.update(cell)
    _reservations.collect(cell)
    steps.sort(key=lambda step: _ordering.sort_key(cell, step))
    starts = 0
    for step in steps:
        if starts >= MAX_STARTS:
            return
        if step.in_doubt and cell.unfenced:
            # A copy of what a silent worker may run, or have crashed under.
            _crashes.suspect_step(cell, step)
        starts += _place_step(cell, step)


def is_blocked_in_doubt(cell: _state.Cell, step: _state.StepRun) -> bool:
    """Return whether unfenced workers may still run the tasks of a step.

    Its tasks must not be started again until this is known.
    """
    if not (step.in_doubt and cell.unfenced):
        return False
    # Even a step that allows copies first waits for the workers to answer.
    is_early = cell.now < cell.restored_at + cell.options.copy_grace_s
    return is_early or not step.spec.allows_copies


def _place_step(cell: _state.Cell, step: _state.StepRun) -> int:
    step.reserved_workers = frozenset()
    step.blocked_by_limit = step.blocked_by_headroom = False
    if step.spec.is_gang:
        placed = _place_gang(cell, step)
    else:
        placed = _place_tasks(cell, step)
    if placed:
        cell.log_decision(
            'tasks_placed',
            job=step.job.spec.id,
            step=step.name,
            priority=step.job.queue.priority,
            workers=dict(cell.placements),
            runs=_run_numbers(step, cell.placements),
            waited_ms=round((cell.now - step.ready_at) * 1000),
            left=len(step.pending),
            config=cell.config.version,
        )
        cell.placements.clear()
    if step.pending:
        step.is_blocked = True
        _record_wait(cell, step)
    else:
        step.wait_reason = ''
        _advice.plan_ahead(cell, step)
    return placed


def _run_numbers(
    step: _state.StepRun, placements: dict[int, str]
) -> dict[int, int]:
    """Return the run numbers of the tasks that were just placed."""
    return {index: step.tasks[index].last_run for index in placements}


def _record_wait(cell: _state.Cell, step: _state.StepRun) -> None:
    """Reserve what a waiting step needs next and log why it waits."""
    if step.blocked_by_limit:
        _reservations.reserve_limit(cell, step)
        reason = 'limit of its team'
    elif step.blocked_by_headroom:
        reason = 'room kept for urgent work'
        if not step.approvals:
            _advice.query(cell, step)
    else:
        candidates = list(_approved_workers(cell, step))
        _reservations.reserve_workers(cell, step, candidates)
        _advice.query(cell, step)
        reason = 'policy service' if step.pending_query else 'room'
        if any(step.tasks[i].losses_by_worker for i in step.pending):
            reason = 'workers lost under its tasks'
    if reason == step.wait_reason:
        return
    step.wait_reason = reason
    cell.log_decision(
        'step_waits',
        job=step.job.spec.id,
        step=step.name,
        why=reason,
        tasks=len(step.pending),
        waited_ms=round((cell.now - step.ready_at) * 1000),
        verdicts=len(step.approvals),
        cpu_milli=step.spec.size.cpu_milli,
        memory_mb=step.spec.size.memory_mb,
        most_per_worker=step.spec.most_per_worker,
    )


def _place_tasks(cell: _state.Cell, step: _state.StepRun) -> int:
    placed = 0
    for index in sorted(step.pending):
        if not _limits.allows(cell, step, step.spec.size):
            step.blocked_by_limit = True
            break
        task = step.tasks[index]
        if not _crashes.may_start(task):
            continue
        found = _best_worker(cell, step, task)
        if found is None:
            # Other tasks may find a worker where these do not.
            if task.failed_on or task.losses_by_worker:
                continue
            break
        worker, ticket = found
        number = _runs.next_number(cell, [task])
        _runs.start(cell, task, worker, number, ticket)
        placed += 1
    return placed


def _best_worker(
    cell: _state.Cell, step: _state.StepRun, task: _state.Task
) -> tuple[_state.Worker, str] | None:
    """Return the best worker for a task with its ticket, or None."""
    best = None
    lowest_cost: tuple[float, ...] = ()
    priority = step.job.queue.priority
    required = _headroom.required_slots(cell, step)
    is_headroom_short = False
    is_suspect = _crashes.is_suspect(task)
    unclean: list[tuple[tuple[float, ...], _state.Worker]] = []
    for worker, ticket in _candidates(cell, step):
        if not worker.has_capacity(step.spec):
            continue
        if cell.worker_reservations.get(worker.id, priority) < priority:
            continue
        if required and not _headroom.leaves_required_slots(
            cell, step, worker, required
        ):
            is_headroom_short = True
            continue
        if any(run.worker is worker for run in task.runs.values()):
            continue
        cost = _cost(cell, step, task, worker)
        if is_suspect:
            # The worker may crash, so the least work is put at risk.
            busy_cpu = worker.entry.capacity.cpu_milli - worker.free_cpu
            cost = (cost[0], busy_cpu, *cost[1:])
            if not _crashes.is_clean(cell, worker, step.job):
                unclean.append((cost, worker))
                continue
        if best is None or cost < lowest_cost:
            best, lowest_cost = (worker, ticket), cost
    if best is None and unclean:
        _, chosen = min(unclean, key=lambda pair: pair[0])
        _reserve(cell, step, chosen)
    step.blocked_by_headroom = is_headroom_short and best is None
    return best


def _reserve(
    cell: _state.Cell, step: _state.StepRun, worker: _state.Worker
) -> None:
    """Keep a worker from other starts, and poll it before a trial."""
    if not worker.reserved_until > cell.now:
        _workers.poll_reserved(cell, worker)
    _crashes.reserve(cell, worker, step.job)


def _candidates(
    cell: _state.Cell, step: _state.StepRun
) -> Iterator[tuple[_state.Worker, str]]:
    if _advice.policy_service(step) is None:
        for worker in cell.workers.values():
            if (
                worker.entry.upstream == step.job.queue.upstream
                and _is_eligible(cell, step, worker)
            ):
                yield worker, ''
        return
    for worker in _approved_workers(cell, step):
        ticket = _advice.valid_ticket(cell, step, worker)
        if ticket is not None:
            yield worker, ticket


def _approved_workers(
    cell: _state.Cell, step: _state.StepRun
) -> Iterator[_state.Worker]:
    """Yield the workers that may run a step, also with an expired ticket."""
    if _advice.policy_service(step) is None:
        for worker, _ in _candidates(cell, step):
            yield worker
        return
    for worker_id, approval in step.approvals.items():
        approved = cell.worker(worker_id, approval.incarnation)
        if approved is not None and _is_eligible(cell, step, approved):
            yield approved


def _is_eligible(
    cell: _state.Cell, step: _state.StepRun, worker: _state.Worker
) -> bool:
    return (
        worker.is_usable(cell.now)
        and not _crashes.is_reserved(cell, worker, step)
        and _advice.meets_constraints(step, worker)
    )


def _cost(
    cell: _state.Cell,
    step: _state.StepRun,
    task: _state.Task,
    worker: _state.Worker,
) -> tuple[float, ...]:
    """Return the cost of a worker for a task; the lowest is best.

    Urgent tasks prefer the fastest workers. All other tasks are packed onto
    the fullest workers that fit, which leaves room for large tasks and keeps
    fast workers free for urgent ones.
    """
    spec = step.spec
    is_remote = bool(spec.near_rack) and worker.entry.rack != spec.near_rack
    is_avoided = (
        worker.id in task.failed_on or worker.id in task.avoided_workers
    )
    if spec.is_filler:
        idle_cpu = worker.free_cpu - worker.filler_cpu
        disturbance = _interference.penalty(cell, step, worker)
        return (is_avoided, is_remote, disturbance, -idle_cpu)
    capacity = max(worker.entry.capacity.cpu_milli, 1)
    free_share = (worker.free_cpu - spec.size.cpu_milli) / capacity
    disturbance = _interference.penalty(cell, step, worker)
    if _run_times.is_used(cell):
        speed_cost = _completion.cost(cell, step, task, worker)
        return (is_avoided, is_remote, *speed_cost, disturbance, free_share)
    is_slow = worker.slowness > cell.options.slow_factor
    if step.job.queue.priority > 0:
        return (is_avoided, is_remote, is_slow, disturbance, free_share)
    log_factor = math.log(cell.options.similar_factor)
    return (
        is_avoided,
        is_remote,
        math.log(worker.slowness) // log_factor,
        disturbance,
        free_share,
    )


def _place_gang(cell: _state.Cell, step: _state.StepRun) -> int:
    if len(step.pending) < step.spec.count:
        return 0
    if any(task.runs for task in step.tasks):
        return 0
    if not _limits.allows(cell, step, _gang_size(step.spec)):
        step.blocked_by_limit = True
        return 0
    if not all(_crashes.may_start(task) for task in step.tasks):
        return 0
    workers = list(_candidates(cell, step))
    plan = _plan_gang(step, workers)
    if plan is not None and any(map(_crashes.is_suspect, step.tasks)):
        plan = _plan_gang_trial(cell, step, workers, plan)
    if plan is None:
        return 0
    number = _runs.next_number(cell, step.tasks)
    for task, (worker, ticket) in zip(step.tasks, plan, strict=True):
        _runs.start(cell, task, worker, number, ticket)
    return len(plan)


def _gang_size(spec: model.Step) -> model.Size:
    size = spec.size
    return model.Size(
        size.cpu_milli * spec.count,
        size.memory_mb * spec.count,
        size.accelerators * spec.count,
    )


def _plan_gang(
    step: _state.StepRun, workers: list[tuple[_state.Worker, str]]
) -> list[tuple[_state.Worker, str]] | None:
    if step.spec.one_rack:
        racks = {worker.entry.rack for worker, _ in workers}
        for rack in sorted(racks):
            plan = _pack(step, [w for w in workers if w[0].entry.rack == rack])
            if plan is not None:
                return plan
    return _pack(step, workers)


def _plan_gang_trial(
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
    trial = _plan_gang(step, clean)
    if trial is None:
        for worker, _ in plan:
            _reserve(cell, step, worker)
    return trial


def _pack(
    step: _state.StepRun, workers: list[tuple[_state.Worker, str]]
) -> list[tuple[_state.Worker, str]] | None:
    spec = step.spec
    plan: list[tuple[_state.Worker, str]] = []
    for worker, ticket in workers:
        size = spec.size
        limits = [worker.free_memory // max(size.memory_mb, 1)]
        if not spec.is_filler:
            limits.append(worker.free_cpu // max(size.cpu_milli, 1))
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


def recheck_waiting(cell: _state.Cell) -> None:
    """Unblock the steps without a query to the policy service in flight.

    Tickets and quarantines expire without an event that would unblock them.
    """
    for step in cell.waiting.values():
        if step.is_blocked and not step.pending_query:
            step.is_blocked = False


def refresh_policies(cell: _state.Cell) -> None:
    """Update the policies of all jobs from a new configuration."""
    for job in cell.jobs.values():
        if job.spec.queue in cell.config.queues_by_name:
            job.queue = _jobs.queue_of(cell, job.spec)
    _workers.unblock_all(cell)
