"""What stands around the nodes in virtual time: workers, calls, nodes."""

from collections.abc import Callable
from typing import Any

import attrs

import celeryshift_core as core
from celeryshift_core import events
from celeryshift_standins import _tasktable


@attrs.define(eq=False)
class Node:
    """Hold a node: its reducer's state, and what befalls it."""

    name: str
    data_centre: str
    state: core.State
    alive: bool = True
    paused: bool = False
    held_back: list[Callable[[], None]] = attrs.field(factory=list)
    counter: int = 0
    paused_at: float = 0.0

    @property
    def ends(self) -> tuple[str, str]:
        """Name the ends that this node talks from."""
        return self.name, self.data_centre


@attrs.define(eq=False)
class Worker:
    """Hold a worker: its tasks, and what befalls it."""

    vm: events.Vm
    tasks: _tasktable.TaskTable
    alive: bool = True
    silent: bool = False
    refuses: bool = False
    starts: int = 0

    @property
    def ends(self) -> tuple[str, str]:
        """Name the ends that this worker talks from."""
        return self.vm.name, self.vm.data_centre


@attrs.define(eq=False)
class Call:
    """Hold what a caller asked for, and the final answer."""

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
    taken_by: Node | None = None

    @property
    def waited_s(self) -> float | None:
        """Give the time from sending to the final answer."""
        return None if self.ended_at is None else self.ended_at - self.sent_at
