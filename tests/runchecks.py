"""Checks of the runs that workers recorded: no task runs twice at once."""

import itertools
import json
from typing import Any

import attrs
from tests import siteworker

# Log lines of nodes that explain why a task was started again.
DECISIONS = frozenset(
    {
        'cell_restored',
        'cell_taken',
        'doubt_over',
        'dropped_run_reported',
        'orders_end',
        'run_adopted',
        'run_ended',
        'run_gone',
        'run_stopped',
        'start_not_confirmed',
        'tasks_placed',
        'unknown_run',
        'worker_answers',
        'worker_fenced',
        'worker_joined',
        'worker_replaced',
        'worker_silent',
    }
)
# Decisions without a worker or task that explain it nevertheless.
GENERAL = frozenset(
    {'cell_restored', 'cell_taken', 'doubt_over', 'orders_end'}
)


@attrs.frozen
class Repetition:
    """Two runs of a task of which the second must not have started."""

    kind: str
    first: siteworker.RunRecord
    second: siteworker.RunRecord

    def describe(self, origin_s: float) -> str:
        """Return both runs, with times since an origin."""
        first, second = (
            _describe(run, origin_s) for run in (self.first, self.second)
        )
        return f'{self.kind}: [{first}] and [{second}]'


def find_repetitions(
    workers: list[siteworker.FakeWorker],
) -> list[Repetition]:
    """Return the pairs of runs that break a guarantee."""
    runs_by_task: dict[str, list[siteworker.RunRecord]] = {}
    for worker in workers:
        worker.update_runs()
        for record in worker.records:
            runs_by_task.setdefault(record.task, []).append(record)
    found = []
    for runs in runs_by_task.values():
        runs.sort(key=lambda run: run.started_at)
        for first, second in itertools.combinations(runs, 2):
            if kind := _repetition(first, second):
                found.append(Repetition(kind, first, second))
    return found


def _repetition(
    first: siteworker.RunRecord, second: siteworker.RunRecord
) -> str:
    if first.ended_at is None or second.started_at < first.ended_at:
        return 'two runs at once'
    if first.how != 'done':
        return ''
    if first.acknowledged_at and second.started_at > first.acknowledged_at:
        return 'started after an acknowledged end'
    # The owner may not know the end, but must then wait for the lease.
    if second.started_at < first.lease_end_at:
        return 'started after its end, within the lease'
    return ''


def _describe(run: siteworker.RunRecord, origin_s: float) -> str:
    def since(at: float | None) -> str:
        return '-' if at is None else f'{at - origin_s:.3f}'

    return (
        f'{run.task} run {run.number} on {run.worker} (born {run.born}) under '
        f'{run.fencing_token}, late {run.is_late}, start '
        f'{since(run.started_at)} stop {since(run.ended_at)} end '
        f'{run.how or "-"} noted {since(run.acknowledged_at)}, lease until '
        f'{since(run.lease_end_at or None)}'
    )


def report(repetitions: list[Repetition], lines: list[dict[str, Any]]) -> str:
    """Describe repetitions, and the first of them by the nodes' lines."""
    first = repetitions[0]
    texts = [
        f'{r.describe(first.first.started_at)}, cause: {cause(r, lines)}'
        for r in repetitions
    ]
    texts += [json.dumps(line) for line in explain(first, lines)]
    return '\n'.join(texts)


def cause(repetition: Repetition, lines: list[dict[str, Any]]) -> str:
    """Return why the owner took one of two runs to have ended."""
    runs = (repetition.first, repetition.second)
    gone = [
        line
        for line in lines
        if line['decision'] == 'run_gone'
        and any(
            (line['task'], line['run'], line['worker'])
            == (run.task, run.number, run.worker)
            for run in runs
        )
    ]
    if not gone:
        return 'no run_gone'
    line = min(gone, key=lambda line: line['at'])
    return (
        f'{line["why"]}, lease_left_ms {line["lease_left_ms"]}, '
        f'lease_clock_age_ms {line["lease_clock_age_ms"]}'
    )


def explain(
    repetition: Repetition, lines: list[dict[str, Any]]
) -> list[dict[str, Any]]:
    """Select the log lines about the task and the workers of two runs."""
    first, second = repetition.first, repetition.second
    workers = {first.worker, second.worker}
    job, _, rest = first.task.partition('.')
    step = f'{job}.{rest.rpartition(".")[0]}'
    selected = [
        line
        for line in lines
        if line['decision'] in DECISIONS
        and (
            line['decision'] in GENERAL
            or line.get('task') == first.task
            or line.get('step') == step
            or ('task' not in line and line.get('worker') in workers)
        )
    ]
    return sorted(selected, key=lambda line: line['at'])


def most_running(
    workers: list[siteworker.FakeWorker], since: float = 0.0
) -> int:
    """Return the largest number of runs at the start of any run.

    Starts that a worker carried out late are not counted as such a start.
    """
    changes = []
    for worker in workers:
        worker.update_runs()
        for run in worker.records:
            changes.append((run.started_at, 1, run.is_late))
            if run.ended_at is not None:
                changes.append((run.ended_at, 0, False))
    running = most = 0
    # Ends come first.
    for at, is_start, is_late in sorted(changes):
        running += 1 if is_start else -1
        if is_start and not is_late and at >= since:
            most = max(most, running)
    return most
