"""Rows of jobs in the store."""

from celeryshift_core import _config
from celeryshift_core import _crashes
from celeryshift_core import _indices
from celeryshift_core import _size
from celeryshift_core import _tasks
from celeryshift_core import schema


def to_row(job: _tasks.Job) -> dict:
    """Return the value of the row of a job."""
    return {
        'id': job.id,
        'team': job.team,
        'kind': job.kind,
        'tasks': job.tasks,
        'payload': job.payload,
        'size': _config.unstructure(job.size),
        'done': job.done.to_ranges(),
        'failed': job.failed.to_ranges(),
        'unknown': job.unknown.to_ranges(),
        'cancelled': job.cancelled,
        'moves': job.moves,
        'lost_runs': _crashes.to_value(job),
    }


def from_row(row: schema.Row) -> _tasks.Job:
    """Return the job of a row."""
    value = row.value
    return _tasks.Job(
        value['id'],
        value['team'],
        value['kind'],
        value['tasks'],
        value['payload'],
        _config.structure(value['size'], _size.Size),
        row.version,
        _indices.IndexSet(value['done']),
        _indices.IndexSet(value['failed']),
        _indices.IndexSet(value['unknown']),
        value['cancelled'],
        cancelled_up_to=value['tasks'] if value['cancelled'] else 0,
        moves=value.get('moves', 0),
        lost_runs_by_index=_crashes.from_value(value.get('lost_runs', {})),
    )
