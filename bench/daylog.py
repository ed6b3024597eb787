"""Tells from the log lines of a day where the time of jobs goes.

    python -m bench.daylog FILE [--window SECONDS]

The file holds lines of all nodes, one JSON object each; what precedes the
object, such as a time of the player of the day, is skipped. Lines that cannot
be read are counted. For each queue and window of arrival the table has the
mean milliseconds of a job's path: its acceptance, the waits of its steps by
their reason, the runs, and the storing of its end. The path of a step ends
with the last of its tasks.
"""

import argparse
import collections
from collections.abc import Iterable
import json
import sys
from typing import Any

import attrs

MS_PER_S = 1000.0
WAITING = 'other wait'
# Columns in the order in which a job passes them; reasons come between.
FIRST_COLUMNS = ('acceptance',)
LAST_COLUMNS = ('run', 'storing')


@attrs.define
class Step:
    """Times of one step in seconds, 0 if it has not got there."""

    ready_at: float
    # Since when the step waits, and why.
    since: float
    reason: str = WAITING
    placed_at: float = 0.0
    ended_at: float = 0.0
    waits_s: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )

    def wait(self, at: float, reason: str) -> None:
        """Count the wait so far, and go on to wait for another reason."""
        self.waits_s[self.reason] += at - self.since
        self.since, self.reason = at, reason


@attrs.define
class Job:
    """Path of one job."""

    queue: str
    arrived_at: float
    taken_at: float
    steps_by_name: dict[str, Step] = attrs.field(factory=dict)
    ended_at: float = 0.0
    stored_at: float = 0.0
    state: str = ''

    def spent_ms(self) -> collections.Counter[str]:
        """Return the milliseconds of each part of the path."""
        spent: collections.Counter[str] = collections.Counter()
        spent['acceptance'] = self.taken_at - self.arrived_at
        for step in self.steps_by_name.values():
            spent.update(step.waits_s)
            if step.ended_at and step.placed_at:
                spent['run'] += max(0.0, step.ended_at - step.placed_at)
        if self.stored_at:
            spent['storing'] = self.stored_at - self.ended_at
        for part in spent:
            spent[part] *= MS_PER_S
        return spent


@attrs.define
class Day:
    """Jobs of a day by id, and what could not be read."""

    jobs_by_id: dict[str, Job] = attrs.field(factory=dict)
    unreadable: int = 0
    foreign: int = 0

    def read(self, lines: Iterable[str]) -> None:
        """Read log lines in any order of nodes."""
        entries = []
        for line in lines:
            _, brace, rest = line.partition('{"')
            if not brace:
                self.foreign += 1
                continue
            try:
                entry = json.loads(brace + rest)
                entries.append((float(entry['at']), entry))
            except (ValueError, KeyError, TypeError):
                self.unreadable += 1
        entries.sort(key=lambda pair: pair[0])
        for at, entry in entries:
            self._apply(at, entry)

    def _apply(self, at: float, entry: dict[str, Any]) -> None:
        decision, job_id = entry.get('decision'), entry.get('job', '')
        if decision == 'job_taken':
            arrived_at = at - entry['age_ms'] / MS_PER_S
            job = Job(entry['queue'], arrived_at, at)
            self.jobs_by_id.setdefault(job_id, job)
            return
        if job_id not in self.jobs_by_id:
            return
        job = self.jobs_by_id[job_id]
        step = job.steps_by_name.get(entry.get('step', ''))
        match decision:
            case 'step_ready':
                job.steps_by_name.setdefault(entry['step'], Step(at, at))
            case 'step_waits' if step is not None:
                step.wait(at, entry['why'])
            case 'tasks_placed' if step is not None:
                if not step.ended_at and not entry['left']:
                    step.wait(at, WAITING)
                    step.placed_at = at
            case 'run_ended':
                name = entry['task'].rpartition('.')[0]
                if name in job.steps_by_name:
                    job.steps_by_name[name].ended_at = at
            case 'job_ended':
                job.ended_at, job.state = at, entry['state']
            case 'end_recorded':
                job.stored_at = at


def table(day: Day, window_s: float) -> list[list[str]]:
    """Return the rows of the table, the head first."""
    jobs = list(day.jobs_by_id.values())
    origin_s = min((job.arrived_at for job in jobs), default=0.0)
    groups: dict[tuple[str, float], list[Job]] = {}
    for job in jobs:
        first = (job.arrived_at - origin_s) // window_s * window_s
        groups.setdefault((job.queue, first), []).append(job)
    reasons = {
        reason
        for job in jobs
        for step in job.steps_by_name.values()
        for reason in step.waits_s
    }
    columns = [*FIRST_COLUMNS, *sorted(reasons), *LAST_COLUMNS]
    head = ['queue', 'from s', 'jobs', 'completed', 'whole ms', *columns]
    rows = [head]
    for (queue, first), group in sorted(groups.items()):
        completed = [job for job in group if job.state == 'completed']
        count = max(1, len(completed))
        spent: collections.Counter[str] = collections.Counter()
        for job in completed:
            spent.update(job.spent_ms())
        whole_s = sum(
            (job.stored_at or job.ended_at) - job.arrived_at
            for job in completed
        )
        rows.append(
            [
                queue,
                f'{first:.0f}',
                str(len(group)),
                str(len(completed)),
                f'{whole_s * MS_PER_S / count:.0f}',
                *(f'{spent[column] / count:.0f}' for column in columns),
            ]
        )
    return rows


def main() -> None:
    """Print the table of a file."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('file')
    parser.add_argument('--window', type=float, default=10.0)
    arguments = parser.parse_args()
    day = Day()
    with open(arguments.file, encoding='utf-8', errors='replace') as lines:
        day.read(lines)
    rows = table(day, arguments.window)
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    for row in rows:
        cells = (
            cell.rjust(width) for cell, width in zip(row, widths, strict=True)
        )
        sys.stdout.write('  '.join(cells).rstrip() + '\n')
    sys.stdout.write(
        f'{len(day.jobs_by_id)} jobs; lines without an object: {day.foreign}, '
        f'that cannot be read: {day.unreadable}\n'
    )


if __name__ == '__main__':
    main()
