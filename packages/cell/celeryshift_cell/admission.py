"""Admission of jobs while more work waits than fits."""

from celeryshift_cell._admission import decide
from celeryshift_cell._admission import decide_by_memory
from celeryshift_cell._admission import Rejection
from celeryshift_cell._footprint import job_bytes
from celeryshift_cell._footprint import reserve_bytes

__all__ = [
    'Rejection',
    'decide',
    'decide_by_memory',
    'job_bytes',
    'reserve_bytes',
]
