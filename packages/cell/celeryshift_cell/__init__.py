"""Scheduling logic of a cell as a pure reducer over events.

The owner of a cell places the tasks of its jobs on workers. It feeds events
to ``reduce``, which updates a ``Cell`` and returns the effects to carry out.
"""

from celeryshift_cell._explain import describe
from celeryshift_cell._explain import explain
from celeryshift_cell._explain import gauges
from celeryshift_cell._feasibility import rejection_reason
from celeryshift_cell._jobs import visible_state
from celeryshift_cell._options import Options
from celeryshift_cell._records import is_known_job
from celeryshift_cell._reducer import reduce
from celeryshift_cell._shares import count_accepted
from celeryshift_cell._shares import mark_surplus
from celeryshift_cell._state import Cell

__all__ = [
    'Cell',
    'Options',
    'count_accepted',
    'describe',
    'explain',
    'gauges',
    'is_known_job',
    'mark_surplus',
    'rejection_reason',
    'reduce',
    'visible_state',
]
