"""Ids of the workers that the periodic timer has to examine, by reason.

A worker is added when a reason arises, and the timer removes it once it finds
that the reason has gone. So the cost of a tick does not grow with the fleet.
"""

import attrs


@attrs.define(slots=True, eq=False)
class DueWorkers:
    """Sets of worker ids."""

    # A run is being stopped.
    stopping: set[str] = attrs.field(factory=set)
    # A run may be copied if it takes too long.
    copyable: set[str] = attrs.field(factory=set)
    # A filler was throttled to a standstill.
    stalled: set[str] = attrs.field(factory=set)
    # The worker is draining.
    draining: set[str] = attrs.field(factory=set)
    # The worker reported runs of unknown jobs.
    unknown: set[str] = attrs.field(factory=set)
