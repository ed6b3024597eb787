"""Queue of a slice: urgent tasks first, then by load of the teams."""

import collections
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Set

from sortedcontainers import SortedList

from celeryshift_core import _size
from celeryshift_core import _tasks

Fifo = collections.deque[_tasks.Task]
# Urgency, kind, size, and whether the tasks have to start on trial.
GroupKey = tuple[bool, str, _size.Size, bool]
# Team and kind of work.
TeamKind = tuple[str, str]


class _Group:
    """Waiting tasks of one kind and size, with a FIFO for each team.

    Those that have to start on trial wait in a group of their own, so that
    others do not wait behind them. All of them need the same capacity, so one
    search decides for the group. If it finds no worker, the group is closed.
    After that only workers whose free capacity grows are searched, which
    `workers_to_search` names; None stands for all workers. At `search_at`, if
    set, the group is reopened and all workers are searched again, even if no
    capacity was freed.
    """

    def __init__(self, key: GroupKey, upstream: str) -> None:
        self.key = key
        self.upstream = upstream
        self.fifos_by_team: dict[str, Fifo] = {}
        self.search_at: float | None = None
        self.workers_to_search: dict[str, None] | None = None


class Queue:
    """Tasks of a slice that wait for a worker.

    Teams are served in ascending order of their load, which `load` returns;
    a slice passes the weighted share of the team.
    A task that is no longer queued is dropped when it reaches the front, so
    cancelling takes constant time. A group that found no capacity is closed,
    and its tasks are blocked, until a worker has capacity for them.
    """

    def __init__(self, load: Callable[[str], float]) -> None:
        self._load = load
        self._group_by_key: dict[GroupKey, _Group] = {}
        self._groups_by_team: dict[str, dict[GroupKey, _Group]] = {}
        self._open_groups: tuple[
            dict[GroupKey, _Group], dict[GroupKey, _Group]
        ] = ({}, {})
        self._closed_for_headroom: dict[GroupKey, _Group] = {}
        self._load_by_team: dict[str, float] = {}
        self._teams_by_load: SortedList = SortedList()
        self.length = 0
        self.urgent_length = 0
        self.examined = 0

    def push(self, task: _tasks.Task, front: bool = False) -> None:
        """Add a task to the FIFO of its team and kind."""
        task.state = _tasks.TaskState.QUEUED
        self._count(task, 1)
        key = _group_key(task)
        group = self._group_by_key.get(key)
        if group is None:
            group = self._group_by_key[key] = _Group(key, task.upstream)
            self._open_groups[task.urgent][key] = group
        fifo = group.fifos_by_team.get(task.team)
        if fifo is None:
            fifo = group.fifos_by_team[task.team] = collections.deque()
            self._add_to_team(task.team, group)
        if front:
            fifo.appendleft(task)
        else:
            fifo.append(task)

    def next(self, urgent: bool, skipped: Set[TeamKind]) -> _tasks.Task | None:
        """Return the next task that may fit, of the least loaded team.

        Of the heads of the team's FIFOs, it is the one that arrived first.
        """
        groups = self._open_groups[urgent]
        for _, team in list(self._teams_by_load) if groups else ():
            best = None
            for group in list(groups.values()):
                self.examined += 1
                if team not in group.fifos_by_team:
                    continue
                if skipped and (team, group.key[1]) in skipped:
                    continue
                head = self._head(group, team)
                if head and (best is None or head.arrived < best.arrived):
                    best = head
            if best is not None:
                return best
        return None

    def pop(self, task: _tasks.Task) -> None:
        """Remove a task from the front of its FIFO."""
        self._count(task, -1)
        group = self._group_by_key[_group_key(task)]
        fifo = group.fifos_by_team[task.team]
        fifo.popleft()
        if not fifo:
            self._remove_fifo(group, task.team)

    def discard(self, task: _tasks.Task, state: _tasks.TaskState) -> None:
        """Take a queued task at any position out, by setting another state.

        Does nothing if the task is not queued.
        """
        if task.state is _tasks.TaskState.QUEUED:
            task.state = state
            self._count(task, -1)

    def count_ahead(self, urgent: bool) -> int:
        """Return the number of tasks that a new one waits for."""
        return self.urgent_length if urgent else self.length

    def update_load(self, team: str) -> None:
        """Reorder a team after its load has changed."""
        before = self._load_by_team.get(team)
        if before is not None:
            load = self._load(team)
            if load != before:
                self._teams_by_load.remove((before, team))
                self._teams_by_load.add((load, team))
                self._load_by_team[team] = load

    def next_blocked(
        self, upstream: str, before: float, skipped: Collection[str]
    ) -> _tasks.Task | None:
        """Return a blocked task that arrived before a time.

        It belongs to the least loaded team that has such a task.
        """
        closed = [
            group
            for key, group in self._group_by_key.items()
            if group.upstream == upstream
            and key not in self._open_groups[key[0]]
        ]
        for _, team in list(self._teams_by_load) if closed else ():
            for group in closed:
                self.examined += 1
                if team not in group.fifos_by_team:
                    continue
                head = self._head(group, team)
                old = head is not None and head.arrived < before
                if head is not None and old and head.id not in skipped:
                    return head
        return None

    def blocked_fifos(self, is_gang_kind: Callable[[str], bool]) -> list[Fifo]:
        """Return the FIFOs of closed groups and of gang kinds."""
        return [
            fifo
            for key, group in self._group_by_key.items()
            if key not in self._open_groups[key[0]] or is_gang_kind(key[1])
            for fifo in group.fifos_by_team.values()
        ]

    def waiting_by_team(self) -> dict[str, int]:
        """Return the queue length of each team.

        Tasks that are no longer queued count until they are dropped.
        """
        return {
            team: sum(
                len(group.fifos_by_team[team]) for group in groups.values()
            )
            for team, groups in self._groups_by_team.items()
        }

    def workers_to_search(self, task: _tasks.Task) -> Iterable[str] | None:
        """Return the workers that may fit; None stands for all."""
        return self._group_by_key[_group_key(task)].workers_to_search

    def close_group(self, task: _tasks.Task) -> None:
        """Close the group of a task for which no worker was found."""
        group = self._group_by_key[_group_key(task)]
        group.workers_to_search = {}
        self._open_groups[task.urgent].pop(group.key, None)

    def close_for_headroom(self, task: _tasks.Task) -> None:
        """Close the group of a task until headroom allows its size."""
        group = self._group_by_key[_group_key(task)]
        self._closed_for_headroom[group.key] = group
        self._open_groups[task.urgent].pop(group.key, None)

    def reopen_for_headroom(
        self, has_headroom: Callable[[str, _size.Size], bool]
    ) -> None:
        """Reopen groups closed for headroom that now allows their size."""
        for key, group in list(self._closed_for_headroom.items()):
            if has_headroom(group.upstream, key[2]):
                del self._closed_for_headroom[key]
                self._open_groups[key[0]][key] = group

    def set_search_at(self, task: _tasks.Task, at: float | None) -> None:
        """Set when to search again in any case; None cancels it."""
        self._group_by_key[_group_key(task)].search_at = at

    def reopen(
        self,
        upstream: str,
        free_by_worker: dict[str, _size.Size],
    ) -> None:
        """Reopen groups that may fit on workers whose capacity grew.

        Those of trials need more than capacity: they stay blocked until their
        next search, so that a worker can be earmarked for them.
        """
        for key, group in self._group_by_key.items():
            if group.upstream != upstream or key[3]:
                continue
            fitting = [
                name
                for name, free in free_by_worker.items()
                if key[2].fits(free)
            ]
            if fitting:
                self._open_groups[key[0]][key] = group
                if group.workers_to_search is not None:
                    group.workers_to_search.update(dict.fromkeys(fitting))

    def reopen_due(self, now: float) -> None:
        """Reopen groups whose next search is due."""
        for key, group in self._group_by_key.items():
            if group.search_at is not None and now >= group.search_at:
                group.search_at = None
                group.workers_to_search = None
                self._open_groups[key[0]][key] = group

    def reopen_all(self, upstream: str) -> None:
        """Reopen all groups of an upstream."""
        for key, group in self._group_by_key.items():
            if group.upstream == upstream:
                group.workers_to_search = None
                self._open_groups[key[0]][key] = group

    def _count(self, task: _tasks.Task, change: int) -> None:
        self.length += change
        if task.urgent:
            self.urgent_length += change

    def _add_to_team(self, team: str, group: _Group) -> None:
        groups = self._groups_by_team.get(team)
        if groups is None:
            groups = self._groups_by_team[team] = {}
            load = self._load_by_team[team] = self._load(team)
            self._teams_by_load.add((load, team))
        groups[group.key] = group

    def _head(self, group: _Group, team: str) -> _tasks.Task | None:
        fifo = group.fifos_by_team[team]
        self.examined += 1
        while fifo and fifo[0].state is not _tasks.TaskState.QUEUED:
            fifo.popleft()
            self.examined += 1
        if fifo:
            return fifo[0]
        self._remove_fifo(group, team)
        return None

    def _remove_fifo(self, group: _Group, team: str) -> None:
        del group.fifos_by_team[team]
        groups = self._groups_by_team[team]
        del groups[group.key]
        if not groups:
            del self._groups_by_team[team]
            self._teams_by_load.remove((self._load_by_team.pop(team), team))
        if not group.fifos_by_team:
            del self._group_by_key[group.key]
            self._closed_for_headroom.pop(group.key, None)
            self._open_groups[group.key[0]].pop(group.key, None)


def _group_key(task: _tasks.Task) -> GroupKey:
    return task.urgent, task.kind, task.size, task.on_trial
