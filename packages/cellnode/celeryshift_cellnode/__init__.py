"""Node that serves clients and owns cells.

A cell is a set of jobs and workers that one node at a time, its owner,
schedules. All nodes of a deployment share one cell.
"""
