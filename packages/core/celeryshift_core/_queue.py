"""The queue of a slice: urgent work first, then by share of the teams."""

import collections
from collections.abc import Callable
from collections.abc import Iterator

from sortedcontainers import SortedList

from celeryshift_core import _tasks

Line = collections.deque[_tasks.Task]


class _Tier:
    """Keep the waiting tasks of one urgency, a line for each team."""

    def __init__(self) -> None:
        self.lines_by_team: dict[str, Line] = {}
        self._load_by_team: dict[str, float] = {}
        self._order: SortedList = SortedList()

    def push(self, task: _tasks.Task, load: float, front: bool) -> None:
        line = self.lines_by_team.get(task.team)
        if line is None:
            line = self.lines_by_team[task.team] = collections.deque()
            self._load_by_team[task.team] = load
            self._order.add((load, task.team))
        if front:
            line.appendleft(task)
        else:
            line.append(task)

    def heads(self) -> Iterator[_tasks.Task]:
        """Yield the first waiting task of each team, least served first."""
        for _, team in list(self._order):
            line = self.lines_by_team.get(team)
            while line and line[0].state is not _tasks.TaskState.QUEUED:
                line.popleft()
            if line:
                yield line[0]
            else:
                self._forget(team)

    def pop(self, task: _tasks.Task) -> None:
        line = self.lines_by_team[task.team]
        line.popleft()
        if not line:
            self._forget(task.team)

    def rank(self, team: str, load: float) -> None:
        before = self._load_by_team.get(team)
        if before is not None and before != load:
            self._order.remove((before, team))
            self._order.add((load, team))
            self._load_by_team[team] = load

    def _forget(self, team: str) -> None:
        if self.lines_by_team.pop(team, None) is not None:
            self._order.remove((self._load_by_team.pop(team), team))


class Queue:
    """Hold the tasks of a slice that wait for a worker.

    A task that is no longer queued is dropped when it comes to the front,
    so that cancelling takes constant time.
    """

    def __init__(self, load: Callable[[str], float]) -> None:
        self._load = load
        self._tiers = (_Tier(), _Tier())
        self.length = 0

    def push(self, task: _tasks.Task, front: bool = False) -> None:
        """Add a task to the line of its team."""
        task.state = _tasks.TaskState.QUEUED
        self.length += 1
        self._tier(task).push(task, self._load(task.team), front)

    def heads(self) -> Iterator[_tasks.Task]:
        """Yield the task that each team would start next, in turn."""
        for tier in self._tiers:
            yield from tier.heads()

    def pop(self, task: _tasks.Task) -> None:
        """Take a task from the front of its line."""
        self.length -= 1
        self._tier(task).pop(task)

    def leave(self, task: _tasks.Task, state: _tasks.TaskState) -> None:
        """Take out a task wherever it stands."""
        if task.state is _tasks.TaskState.QUEUED:
            task.state = state
            self.length -= 1

    def rank(self, team: str) -> None:
        """Place a team anew after its load has changed."""
        for tier in self._tiers:
            tier.rank(team, self._load(team))

    def waiting_by_team(self) -> dict[str, int]:
        """Count the tasks in the lines of each team, cancelled ones too."""
        counts: collections.Counter[str] = collections.Counter()
        for tier in self._tiers:
            for team, line in tier.lines_by_team.items():
                counts[team] += len(line)
        return dict(counts)

    def _tier(self, task: _tasks.Task) -> _Tier:
        return self._tiers[0 if task.urgent else 1]
