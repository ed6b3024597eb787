"""Polls of workers: when they are sent, and what they carry.

Everything that sends or schedules a poll belongs here; what follows from the
answers is in ``_answers``.
"""

import math

from celeryshift_cell import _leases
from celeryshift_cell import _state
from celeryshift_cell import effects

# Delay of the poll that tells an idle worker that its completions are stored.
IDLE_POLL_DELAY_S = 1.0
# Shorter delays than the interval of ticks are none.
MIN_POLL_DELAY_S = 0.1


def poll_due(cell: _state.Cell) -> None:
    """Poll the workers that are due, and some with an old clock reading."""
    refreshes = math.ceil(cell.options.clock_refresh_share * len(cell.workers))
    for worker in cell.workers.values():
        if worker.poll_at is None or worker.poll_at > cell.now:
            if refreshes and _is_clock_poll_due(cell, worker):
                refreshes -= 1
                poll(cell, worker, 0)
            continue
        if worker.polls_in_flight > 1 or (
            worker.polls_in_flight and not worker.is_silent
        ):
            continue
        is_immediate = (
            worker.is_silent
            or worker.has_unstored
            or bool(worker.withheld_completion)
        )
        poll(cell, worker, 0 if is_immediate else cell.options.poll_wait_ms)


def _is_clock_poll_due(cell: _state.Cell, worker: _state.Worker) -> bool:
    return (
        worker.is_fenced
        and worker.is_listed
        and not worker.is_silent
        and not worker.polls_in_flight
        and _leases.needs_reading(cell, worker)
    )


def poll(cell: _state.Cell, worker: _state.Worker, wait_ms: int) -> None:
    """Poll a worker now; it may delay its answer by up to ``wait_ms``."""
    worker.poll_at = None
    worker.polls_in_flight += 1
    deadline_ms = None
    stored_completion = 0
    # A silent worker may receive the poll late. Such a poll must not extend
    # the lease, since the cell waits for that lease to expire.
    if worker.is_fenced and not (worker.is_silent or worker.is_suspect):
        deadline_ms = _leases.extend(cell, worker)
    if not (worker.is_silent or worker.is_suspect):
        # Any other worker may have restarted. The next incarnation counts its
        # completions anew, and would discard some that were never listed.
        stored_completion = worker.last_stored_completion
    entry = worker.entry
    cell.emit(
        effects.PollWorker(
            entry.id,
            entry.incarnation,
            entry.address,
            stored_completion,
            wait_ms,
            deadline_ms,
            cell.timeout_slack_s,
        )
    )


def probe(cell: _state.Cell, worker: _state.Worker) -> None:
    """Poll a suspect worker at once and start no tasks on it meanwhile."""
    worker.is_suspect = True
    poll(cell, worker, 0)


def poll_reserved(cell: _state.Cell, worker: _state.Worker) -> None:
    """Poll a worker at once that a suspect is about to start on."""
    if worker.polls_in_flight <= 1:
        poll(cell, worker, 0)


def schedule_poll(cell: _state.Cell, worker: _state.Worker) -> None:
    """Schedule the next poll of a worker after an answer."""
    if worker.polls_in_flight:
        return
    if worker.has_unstored or worker.withheld_completion:
        # Completions are stored first; the next poll then allows the worker
        # to discard them.
        worker.poll_at = cell.now + cell.options.unsaved_poll_s
    elif worker.runs or worker.unknown_runs:
        _poll_again(cell, worker)
    else:
        worker.poll_at = None


def _poll_again(cell: _state.Cell, worker: _state.Worker) -> None:
    """Poll a worker with runs: at once, or later if the owner lags."""
    options = cell.options
    delay_s = min(
        options.poll_delay_factor * cell.lag_s, options.max_poll_delay_s
    )
    if delay_s < MIN_POLL_DELAY_S:
        poll(cell, worker, _wait_ms(cell, worker))
    else:
        worker.poll_at = cell.now + delay_s


def _wait_ms(cell: _state.Cell, worker: _state.Worker) -> int:
    if any(run.task.step.spec.is_filler for run in worker.runs.values()):
        # The interference of fillers changes within seconds.
        return cell.options.filler_poll_wait_ms
    return cell.options.poll_wait_ms


def handle_completions_saved(cell: _state.Cell) -> None:
    """Schedule the polls that tell workers which completions are stored."""
    for key, number in cell.saving_completions.items():
        worker = cell.worker(*key)
        if worker is None or worker.last_stored_completion >= number:
            continue
        worker.last_stored_completion = number
        if worker.polls_in_flight or worker.storable_completion > number:
            continue
        if worker.runs:
            _poll_again(cell, worker)
        else:
            worker.poll_at = cell.now + IDLE_POLL_DELAY_S
