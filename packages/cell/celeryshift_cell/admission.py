"""Admission of jobs while more work waits than fits."""

from celeryshift_cell._admission import decide
from celeryshift_cell._admission import Rejection

__all__ = ['Rejection', 'decide']
