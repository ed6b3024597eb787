"""celeryshiftd: the process that runs a node of celeryshift_core."""

from celeryshift_node._main import main

__all__ = ['main']
