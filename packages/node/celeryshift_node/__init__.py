"""celeryshiftd: the node that carries out the decisions."""

from celeryshift_node._main import main

__all__ = ['main']
