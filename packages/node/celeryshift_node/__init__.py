"""celeryshiftd: the node process that executes scheduling decisions."""

from celeryshift_node._main import main

__all__ = ['main']
