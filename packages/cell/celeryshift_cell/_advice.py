"""Questions to the policy service: which workers may run a step.

A verdict on a worker never changes for a step; only the ticket ages. So a
step is asked about once, about the workers most likely to have room, again
for the tickets alone, and about other workers only when those that may run
it are full.
"""

from celeryshift_cell import _state
from celeryshift_cell import effects
from celeryshift_cell import events
from celeryshift_cell import model

# A question that takes longer names only the workers with most room.
LONG_QUESTION_MS = 200.0


def policy(step: _state.StepRun) -> model.PolicyService | None:
    """Give the policy service of a step's queue, if it has one."""
    return step.job.queue.advice


def ticket(
    cell: _state.Cell, step: _state.StepRun, worker: _state.Worker
) -> str | None:
    """Give a ticket that is good for long enough to start with."""
    verdict = step.verdicts.get(worker.id)
    if verdict is None or verdict.incarnation != worker.entry.life:
        return None
    if verdict.until < cell.now + cell.options.ticket_margin_s:
        return None
    return verdict.ticket


def ask(cell: _state.Cell, step: _state.StepRun) -> None:
    """Ask about a step whose tasks wait, if that may help."""
    advice = policy(step)
    if advice is None or step.asking or cell.now < step.ask_after:
        return
    workers = _worth_asking(cell, step, advice)
    if not workers:
        return
    step.asking = frozenset(worker.id for worker in workers)
    job = step.job
    expected_ms = advice.decision_ms + advice.each_ms * len(workers)
    cell.emit(
        effects.RequestAdvice(
            step.name,
            tuple(worker.id for worker in workers),
            (job.queue.priority, expected_ms, step.ready_at),
            expected_ms,
        )
    )


def _worth_asking(
    cell: _state.Cell, step: _state.StepRun, advice: model.PolicyService
) -> list[_state.Worker]:
    spec = step.spec
    good, new = [], []
    for worker in cell.workers.values():
        entry = worker.entry
        if (
            entry.upstream != step.job.queue.upstream
            or step.unfit.get(worker.id) == entry.life
            or not spec.size.fits(entry.capacity)
            or not worker.is_usable(cell.now)
            or not allowed(step, worker)
        ):
            continue
        verdict = step.verdicts.get(worker.id)
        if verdict is not None and verdict.incarnation == entry.life:
            good.append(worker)
        else:
            new.append(worker)
    stale = [w for w in good if ticket(cell, step, w) is None]
    roomy_stale = [w for w in stale if w.has_room(spec)]
    roomy_new = [w for w in new if w.has_room(spec)]
    if not good:
        # The first question: room may come while it is answered.
        chosen = roomy_new or new
    elif roomy_stale or roomy_new:
        chosen = roomy_new + stale
    else:
        return []
    chosen.sort(key=lambda w: (not w.has_room(spec), -w.free_cpu))
    most = cell.options.max_asked
    if advice.decision_ms + advice.each_ms * len(chosen) > LONG_QUESTION_MS:
        most = min(most, cell.options.long_question_workers)
    return chosen[:most]


def allowed(step: _state.StepRun, worker: _state.Worker) -> bool:
    """Tell whether the step's own rules let it use a worker."""
    spec = step.spec
    if spec.required_label and spec.required_label not in (
        worker.entry.labels
    ):
        return False
    most = spec.most_per_worker
    return not most or step.on_worker[worker.id] < most


def answered(cell: _state.Cell, event: events.AdviceAnswered) -> None:
    """Keep the verdicts and the tickets."""
    step = cell.step(event.step)
    if step is None:
        return
    step.asking = frozenset()
    until = event.sent_at + event.validity_ms / 1000
    for worker_id in event.workers:
        worker = cell.workers.get(worker_id)
        if worker is None:
            continue
        life = worker.entry.life
        given = event.tickets_by_worker.get(worker_id)
        if given is None:
            step.unfit[worker_id] = life
            step.verdicts.pop(worker_id, None)
        else:
            step.verdicts[worker_id] = _state.Verdict(life, given, until)
    cell.note(
        'advice',
        job=step.job.spec.id,
        step=step.name,
        asked=len(event.workers),
        good=len(event.tickets_by_worker),
        took_ms=round((cell.now - event.sent_at) * 1000),
    )
    step.is_blocked = False


def failed(cell: _state.Cell, event: events.AdviceFailed) -> None:
    """Ask again after a pause."""
    step = cell.step(event.step)
    if step is None:
        return
    step.asking = frozenset()
    step.ask_after = cell.now + cell.options.advice_retry_s
    cell.note(
        'advice_failed',
        job=step.job.spec.id,
        step=step.name,
        reason=event.reason,
    )
    step.is_blocked = False
