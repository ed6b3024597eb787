"""Decides which waiting tasks start next, and on which workers."""

import heapq
import itertools

from celeryshift_cell import _advice
from celeryshift_cell import _candidates
from celeryshift_cell import _cold
from celeryshift_cell import _costs
from celeryshift_cell import _crashes
from celeryshift_cell import _evacuation
from celeryshift_cell import _gangs
from celeryshift_cell import _headroom
from celeryshift_cell import _in_doubt
from celeryshift_cell import _jobs
from celeryshift_cell import _limits
from celeryshift_cell import _requirements
from celeryshift_cell import _reservations
from celeryshift_cell import _run_times
from celeryshift_cell import _runs
from celeryshift_cell import _shares
from celeryshift_cell import _state
from celeryshift_cell import _workers

# Maximum number of tasks started in one pass; the event loop reads responses
# between passes.
MAX_STARTS = 256
# Bounds of a pass: the steps that it examines, those unblocked first; the
# steps that it places; and how many of these may be of the most urgent rank
# while there are others. Further passes place the rest.
MAX_EXAMINED = 4096
MAX_STEPS = 1024
MAX_URGENT_STEPS = 512


def place_waiting(cell: _state.Cell) -> None:
    """Start the tasks that can be started, the most urgent steps first."""
    steps = [
        step
        for step in itertools.islice(
            cell.steps.unblocked.values(), MAX_EXAMINED
        )
        if not is_blocked_in_doubt(cell, step)
    ]
    if not steps:
        return
    if len(steps) > MAX_STEPS:
        steps = _first_by_rank(steps)
    _in_doubt.update(cell)
    _reservations.collect(cell)
    # Steps with equal keys start in the order in which they began to wait.
    steps.sort(key=lambda step: step.waiting_number)
    starts = 0
    for step in _shares.in_turn(cell, steps):
        if starts >= MAX_STARTS or not cell.window.room:
            return
        if step.in_doubt and cell.unfenced:
            # A copy of what a silent worker may run, or have crashed under.
            _crashes.suspect_step(cell, step)
        most_starts = cell.window.room
        if cell.shares.turn:
            most_starts = min(most_starts, cell.shares.turn)
        starts += _place_step(cell, step, most_starts)


def _first_by_rank(steps: list[_state.StepRun]) -> list[_state.StepRun]:
    """Return the steps of a pass, if there are too many for one."""
    by_rank = sorted(steps, key=lambda step: step.job.rank)
    rank = by_rank[0].job.rank
    urgent = sum(step.job.rank == rank for step in by_rank)
    # As many others as there are, but at most what is left.
    others = min(len(by_rank) - urgent, MAX_STEPS - MAX_URGENT_STEPS)
    first = min(urgent, MAX_STEPS - others)
    last = urgent + MAX_STEPS - first
    return by_rank[:first] + by_rank[urgent:last]


def is_blocked_in_doubt(cell: _state.Cell, step: _state.StepRun) -> bool:
    """Return whether unfenced workers may still run the tasks of a step.

    Its tasks must not be started again until this is known.
    """
    if not (step.in_doubt and cell.unfenced):
        return False
    # Even a step that allows copies first waits for the workers to answer.
    is_early = cell.now < cell.restored_at + cell.options.copy_grace_s
    return is_early or not step.spec.allows_copies


def _place_step(
    cell: _state.Cell, step: _state.StepRun, most_starts: int
) -> int:
    """Start tasks of a step; a gang may exceed the given number."""
    cell.steps.changed[step.name] = step
    for worker_id in step.reserved_workers:
        cell.steps.touch(worker_id)
    step.reserved_workers = frozenset()
    step.blocked_by_limit = step.blocked_by_headroom = False
    step.blocked_by_memory = False
    if step.spec.is_gang:
        placed = _gangs.place(cell, step)
    else:
        placed = _place_tasks(cell, step, most_starts)
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
    if step.pending and placed >= most_starts:
        # The step is tried again once starts have been answered, or when it is
        # the turn of its team again.
        return placed
    if step.pending:
        _record_wait(cell, step)
        cell.steps.block(step)
    else:
        step.wait_reason = ''
        _advice.plan_ahead(cell, step)
        _jobs.release_more(cell, step.job)
    return placed


def _run_numbers(
    step: _state.StepRun, placements: dict[int, str]
) -> dict[int, int]:
    """Return the run numbers of the tasks that were just placed."""
    return {index: step.tasks[index].last_run for index in placements}


def _record_wait(cell: _state.Cell, step: _state.StepRun) -> None:
    """Reserve what a waiting step needs next and log why it waits."""
    if _evacuation.blocks(cell, step):
        # It can't use what its team or urgent work would leave to it.
        step.blocked_by_limit = step.blocked_by_headroom = False
        reason = 'evacuation'
    elif step.blocked_by_limit:
        _reservations.reserve_limit(cell, step)
        reason = 'limit of its team'
    elif step.blocked_by_memory:
        reason = 'memory of the owner'
    elif step.blocked_by_headroom:
        reason = 'room kept for urgent work'
        if not step.approvals:
            _advice.query(cell, step)
    else:
        _reservations.reserve_workers(
            cell,
            step,
            _candidates.reservable(cell, step),
            is_sorted=_requirements.policy_service(step) is None,
        )
        _advice.query(cell, step)
        reason = 'policy service' if step.pending_query else 'room'
        if reason == 'room' and _cold.holds_back(cell, step):
            reason = 'cold workers'
        if _crashes.has_suspects(step):
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


class _Ranking:
    """Workers that may start a task of a step, the cheapest first.

    It serves the tasks of one pass for which ``_costs.cost`` is the same,
    since they have no history of their own. Starting one changes the cost only
    of the worker that it starts on.
    """

    def __init__(self, cell: _state.Cell, step: _state.StepRun) -> None:
        self._cell = cell
        self._step = step
        self._required_slots = _headroom.required_slots(cell, step)
        self._is_headroom_short = False
        self._heap: list[
            tuple[tuple[float, ...], int, _state.Worker, str]
        ] = []
        self._is_built = False
        # Costs are those of a task that waits, without a history.
        self._waiting_task = _state.Task(step, -1, step.name)

    def start_next(self, task: _state.Task) -> bool:
        """Start a task on the best worker, and return whether there is one."""
        if not self._is_built:
            self._build()
        cell, step = self._cell, self._step
        while self._heap:
            _, position, worker, ticket = heapq.heappop(self._heap)
            if self._required_slots and not _headroom.leaves_required_slots(
                cell, step, worker, self._required_slots
            ):
                # Nor will it later in this pass.
                self._is_headroom_short = True
                continue
            number = _runs.next_number(cell, [task])
            _runs.start(cell, task, worker, number, ticket)
            if _cold.has_capacity(
                cell, worker, step
            ) and _candidates.is_eligible(cell, step, worker):
                cost = _costs.cost(cell, step, self._waiting_task, worker)
                heapq.heappush(self._heap, (cost, position, worker, ticket))
            return True
        step.blocked_by_headroom = self._is_headroom_short
        return False

    def _build(self) -> None:
        cell, step, task = self._cell, self._step, self._waiting_task
        self._is_built = True
        self._heap = [
            (_costs.cost(cell, step, task, worker), position, worker, ticket)
            for position, worker, ticket in _candidates.fullest(cell, step)
            if not _candidates.is_reserved(cell, step, worker)
        ]
        heapq.heapify(self._heap)


def _place_tasks(
    cell: _state.Cell, step: _state.StepRun, most_starts: int
) -> int:
    placed = 0
    ranking: _Ranking | None = None
    # With the run-time model, the cost of a worker changes with the number of
    # waiting tasks: the last ones of a step get faster workers.
    may_rank = not _run_times.is_used(cell)
    for index in step.pending:
        if placed >= most_starts:
            break
        if not _limits.allows(cell, step, step.spec.size):
            step.blocked_by_limit = True
            break
        if not (step.tasks.get(index) or cell.footprint.may_start):
            # Tasks that have started before may start again.
            step.blocked_by_memory = True
            if not step.tasks.known:
                break
            continue
        task = step.tasks.peek(index)
        if may_rank and _has_no_history(task):
            ranking = ranking or _Ranking(cell, step)
            if not ranking.start_next(task):
                break
            placed += 1
            continue
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
        ranking = None
        placed += 1
    return placed


def _has_no_history(task: _state.Task) -> bool:
    return not (
        task.runs
        or task.failed_on
        or task.avoided_workers
        or task.losses_by_worker
    )


def _best_worker(
    cell: _state.Cell, step: _state.StepRun, task: _state.Task
) -> tuple[_state.Worker, str] | None:
    """Return the best worker for a task with its ticket, or None."""
    best = None
    lowest_cost: tuple[float, ...] = ()
    required = _headroom.required_slots(cell, step)
    is_headroom_short = False
    is_suspect = _crashes.is_suspect(task)
    unclean: list[tuple[tuple[float, ...], _state.Worker]] = []
    for _, worker, ticket in _candidates.in_order(cell, step):
        if _candidates.is_reserved(cell, step, worker):
            continue
        if required and not _headroom.leaves_required_slots(
            cell, step, worker, required
        ):
            is_headroom_short = True
            continue
        if any(run.worker is worker for run in task.runs.values()):
            continue
        cost = _costs.cost(cell, step, task, worker)
        if is_suspect:
            # The worker may crash, so the least work is put at risk.
            busy_cpu = worker.entry.capacity.cpu_milli - worker.free_cpu
            cost = (*cost[:2], busy_cpu, *cost[2:])
            if not _crashes.is_clean(cell, worker, step.job):
                unclean.append((cost, worker))
                continue
        if best is None or cost < lowest_cost:
            best, lowest_cost = (worker, ticket), cost
    if best is None and unclean:
        _, chosen = min(unclean, key=lambda pair: pair[0])
        _candidates.reserve_for_trial(cell, step, chosen)
    step.blocked_by_headroom = is_headroom_short and best is None
    return best


def recheck_waiting(cell: _state.Cell) -> None:
    """Unblock the steps without a query to the policy service in flight.

    Tickets and quarantines expire without an event that would unblock them.
    """
    for step in cell.waiting.values():
        if step.is_blocked and not step.pending_query:
            cell.steps.unblock(step)
        elif step.approvals:
            cell.steps.touched[step.name] = step


def refresh_policies(cell: _state.Cell) -> None:
    """Update the policies of all jobs from a new configuration."""
    for job in cell.jobs.values():
        if job.spec.queue in cell.config.queues_by_name:
            job.queue = _jobs.queue_of(cell, job.spec)
    for queue in cell.config.queues_by_name.values():
        cell.least_urgent = max(cell.least_urgent, queue.priority)
    for job in cell.jobs.values():
        cell.least_urgent = max(cell.least_urgent, job.rank)
    # Reservations depend on the priorities of the queues.
    cell.steps.changed.update(cell.waiting)
    _workers.unblock_all(cell)
