"""State of the nodes, workers and calls of a simulation."""

from collections.abc import Callable
from typing import Any

import attrs

import celeryshift_core as core
from celeryshift_core import events
from celeryshift_standins import _tasktable


@attrs.define(eq=False)
class Node:
    """A simulated node: the state of its reducer, and its faults."""

    name: str
    data_centre: str
    state: core.State
    alive: bool = True
    paused: bool = False
    deferred: list[Callable[[], None]] = attrs.field(factory=list)
    incarnation: int = 0
    paused_at: float = 0.0

    @property
    def endpoints(self) -> tuple[str, str]:
        """Return the names by which links know this node."""
        return self.name, self.data_centre


@attrs.define(eq=False)
class Worker:
    """A simulated worker: its tasks, and its faults."""

    vm: events.Vm
    tasks: _tasktable.TaskTable
    alive: bool = True
    silent: bool = False
    refuses: bool = False
    starts: int = 0

    @property
    def endpoints(self) -> tuple[str, str]:
        """Return the names by which links know this worker."""
        return self.vm.name, self.vm.data_centre


@attrs.define(eq=False)
class Call:
    """A call to a node, and its final answer.

    It is accepted when it reaches the node and the node is alive; else it
    ends without an answer or a refusal. The `kind` of an act on a job is the
    act.
    """

    name: str
    kind: str
    team: str
    sent_at: float
    node: str
    job: bool = False
    payload: dict[str, Any] = attrs.field(factory=dict)
    ended_at: float | None = None
    answer: dict[str, Any] | None = None
    refusal: core.Refusal | None = None
    key_id: str = ''
    tasks: int = 1
    accepted_by: Node | None = None

    @property
    def waited_s(self) -> float | None:
        """Return the time from sending to the final answer, if it came."""
        return None if self.ended_at is None else self.ended_at - self.sent_at
