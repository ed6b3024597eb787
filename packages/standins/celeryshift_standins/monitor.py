"""What must always hold, watched event by event.

Everything is judged from the fakes' own record: what workers ran, what the
table service holds, what callers were told, and which changes nodes showed.
"""

import collections
from collections.abc import Iterator
import re

import attrs

import celeryshift_core as core
from celeryshift_core import effects
from celeryshift_core import schema
from celeryshift_standins import _fakes
from celeryshift_standins import _tasktable
from celeryshift_standins import world as worlds

KEY_GRACE_S = 3.0
LEAVING_GRACE_S = 5.0
IN_FORCE_S = 6.0
ANSWER_GRACE_S = 1.0

_NUMBER = re.compile(r'\d+')

Phase = _tasktable.Phase
Run = _tasktable.Run


def task_of(run_id: str) -> str:
    """Name the task or request that a run is of."""
    return run_id.rpartition('~')[0]


def task_of_request(call: _fakes.Call) -> str:
    """Name the task that runs what a caller asked for."""
    return f'r:{call.team}:{call.name}'


def task_of_job(call: _fakes.Call, index: int) -> str:
    """Name a task of a job."""
    return f'j:{call.team}:{call.name}.{index}'


def _first_task(call: _fakes.Call) -> str:
    return task_of_job(call, 0) if call.job else task_of_request(call)


@attrs.frozen
class Version:
    """Hold a configuration, and when it was written."""

    at: float
    config: core.Config


class Monitor:
    """Check each run, answer and configuration as it comes."""

    def __init__(self, world: worlds.World) -> None:
        self.violations: list[str] = []
        self.versions: list[Version] = []
        self.withdrawn_at_by_key: dict[str, float] = {}
        self.runs_by_task: dict[str, list[Run]] = collections.defaultdict(list)
        self.worker_by_run: dict[str, str] = {}
        self.unowned_s = 0.0
        self.in_force_at: dict[int, dict[str, float]] = {}
        self._world = world
        self._held_by_worker: dict[str, core.Size] = {}
        self._running_by_task: dict[str, Run] = {}
        self._slots_by_team: dict[str, int] = collections.Counter()
        self._leaving_at_by_worker: dict[str, float] = {}
        self._unowned_since: dict[str, float] = {}
        self._config_by_node: dict[_fakes.Node, int] = {}
        self._not_run: collections.Counter[str] = collections.Counter()
        self._asked: collections.Counter[str] = collections.Counter()
        self._next_call = 0
        self._open_calls: dict[int, _fakes.Call] = {}
        self._table_version = -1
        self._head = 0
        self._told: dict[str, str] = {}
        self._seen: set[str] = set()
        world.on_step.append(self._step)
        world.on_change.append(self._changed)
        world.on_stop.append(self._stopped)

    def add_worker(self, worker: _fakes.Worker) -> None:
        """Watch the runs of a worker."""
        name = worker.vm.name
        self._held_by_worker[name] = core.Size(0)
        worker.tasks.on_change.append(lambda run: self._ran(worker, run))

    def leaving(self, worker: str) -> None:
        """Note that the VM list calls a worker leaving."""
        self._leaving_at_by_worker[worker] = self._world.now

    def withdrawn(self, key_id: str, node: str = '') -> None:
        """Note that a key was withdrawn, and which node was told."""
        if key_id not in self.withdrawn_at_by_key:
            self.withdrawn_at_by_key[key_id] = self._world.now
            self._told[key_id] = node

    def finish(self) -> None:
        """Check what can only be known at the end."""
        for call in self._world.calls:
            self._check_answered(call)
            if call.job and call.answer and call.answer.get('accepted'):
                self._check_job(call)
        for key, since in self._unowned_since.items():
            self._note_unowned(key, since)

    def settled_in_force_s(self, version: int) -> float:
        """Give how long a version took to be in force at every live node."""
        written = [v for v in self.versions if v.config.version == version]
        seen = self.in_force_at.get(version, {})
        live = [n for n in self._world.nodes_by_name.values() if n.alive]
        if not written or any(node.name not in seen for node in live):
            return float('inf')
        return max(seen[node.name] for node in live) - written[0].at

    # Runs.

    def _ran(self, worker: _fakes.Worker, run: Run) -> None:
        name = worker.vm.name
        size = core.Size(**run.size)
        task = task_of(run.id)
        if run.phase is not Phase.RUNNING:
            self._held_by_worker[name] -= size
            self._slots_by_team[run.team] -= size.slots
            if self._running_by_task.get(task) is run:
                del self._running_by_task[task]
            return
        self._held_by_worker[name] += size
        if not self._held_by_worker[name].fits(worker.vm.capacity):
            self._violate(f'{name} held {self._held_by_worker[name]}')
        self._check_places(task, run, name)
        self._check_limit(run, size)
        self._check_once(task, run)
        if self._not_run[task] and self._all_not_run(task):
            self._violate(f'{task} ran after a refusal that says not run')
        leaving_at = self._leaving_at_by_worker.get(name)
        if (
            leaving_at is not None
            and self._world.now > leaving_at + LEAVING_GRACE_S
        ):
            self._violate(f'{name} is leaving and was given {task}')

    def _check_places(self, task: str, run: Run, worker: str) -> None:
        before = self._running_by_task.get(task)
        if before is not None:
            # A run ends by itself only when its worker is looked at.
            where = self._world.workers_by_name[self.worker_by_run[before.id]]
            where.tasks.advance(self._world.now)
            if before.phase is Phase.RUNNING:
                self._violate(f'{task} runs on {where.vm.name} and {worker}')
        self._running_by_task[task] = run
        self.worker_by_run[run.id] = worker

    def _check_limit(self, run: Run, size: core.Size) -> None:
        self._slots_by_team[run.team] += size.slots
        limit = self._limit(run.team)
        if self._slots_by_team[run.team] > limit:
            for worker in self._world.workers_by_name.values():
                worker.tasks.advance(self._world.now)
        held = self._slots_by_team[run.team]
        if held > limit:
            self._violate(f'team {run.team} held {held} slots over {limit}')

    def _limit(self, team: str) -> float:
        """Give the highest limit that may still be in force somewhere."""
        limit = 0.0
        for version in reversed(self.versions):
            found = version.config.teams.get(team)
            limit = max(limit, found.limit_slots if found else 0)
            if version.at < self._world.now - IN_FORCE_S:
                break
        return limit

    def _check_once(self, task: str, run: Run) -> None:
        runs = self.runs_by_task[task]
        if not run.request:
            self._check_not_done(task, runs)
        runs.append(run)
        kind = self.versions[-1].config.kinds.get(run.kind)
        if len(runs) > 1 and kind is not None and not kind.repeatable:
            self._violate(f'{task} must not be repeated and ran {len(runs)}x')

    def _check_not_done(self, task: str, runs: list[Run]) -> None:
        """Check that no task runs again that every node could see was done."""
        for before in runs:
            name = self.worker_by_run[before.id]
            worker = self._world.workers_by_name[name]
            always_heard = (
                worker.alive
                and self._world.links.changed_at < before.started_at
            )
            if before.phase is Phase.DONE and always_heard:
                self._violate(f'{task} ran again after it was done')

    # Calls.

    def _take_calls(self) -> None:
        calls = self._world.calls
        while self._next_call < len(calls):
            call = calls[self._next_call]
            self._open_calls[self._next_call] = call
            self._next_call += 1
            self._asked[_first_task(call)] += 1
        if self._world.steps % 16 == 0:
            for number, call in list(self._open_calls.items()):
                if call.ended_at is not None:
                    del self._open_calls[number]
                    self._ended(call)

    def _ended(self, call: _fakes.Call) -> None:
        task = _first_task(call)
        if call.refusal is not None and call.refusal.ran is core.Ran.NO:
            self._not_run[task] += 1
            if task in self.runs_by_task and self._all_not_run(task):
                self._violate(f'{task} ran, and was refused as not run')
            if any(
                run.started_at < call.sent_at
                for run in self.runs_by_task.get(task, ())
            ):
                self._violate(f'{task} had run, but a repeat says not run')
        if call.answer is not None and 'worker' in call.answer:
            runs = self.runs_by_task.get(task_of_request(call), [])
            if not any(run.phase is Phase.DONE for run in runs):
                self._violate(f'{call.name} got an answer and never ran')
        withdrawn_at = self.withdrawn_at_by_key.get(call.key_id)
        if withdrawn_at is not None and call.answer is not None:
            late_s = call.sent_at - withdrawn_at
            if late_s > self._key_grace_s(call):
                self._violate(
                    f'{call.name} was let in {late_s:.1f} s after its key '
                    f'{call.key_id} was withdrawn'
                )

    def _all_not_run(self, task: str) -> bool:
        """Tell whether all who asked for a task heard that it did not run.

        Which of two calls with one name a run is for cannot be seen.
        """
        return self._not_run[task] >= self._asked[task]

    def _key_grace_s(self, call: _fakes.Call) -> float:
        node = call.taken_by
        world = self._world
        if node is None:
            return KEY_GRACE_S
        steady = world.now - world.links.changed_at > KEY_GRACE_S
        if steady and self._can_know(node, call.key_id):
            return KEY_GRACE_S
        return KEY_GRACE_S + node.state.options.config_stale_s

    def _can_know(self, node: _fakes.Node, key_id: str) -> bool:
        """Tell whether news of a withdrawal finds a way to a node."""
        world = self._world
        seen = {node.name}
        waiting = [node]
        while waiting:
            near = waiting.pop()
            if world.to_store(near) or near.name == self._told.get(key_id):
                return True
            for peer in world.nodes_by_name.values():
                if (
                    peer.name not in seen
                    and not peer.paused
                    and world.peer(peer, near.name)
                ):
                    seen.add(peer.name)
                    waiting.append(peer)
        return False

    def _check_answered(self, call: _fakes.Call) -> None:
        node = call.taken_by
        if call.ended_at is not None or node is None or not node.alive:
            return
        due_at = call.sent_at + ANSWER_GRACE_S
        kind = self.versions[-1].config.kinds.get(call.kind)
        due_at += kind.timeout_s if kind else node.state.options.reply_s
        if not node.paused and self._world.now > due_at:
            self._violate(f'{call.name} was never given a final answer')

    def _check_job(self, call: _fakes.Call) -> None:
        if call.payload.get('cancelled') or call.payload.get('fail'):
            return
        kind = self.versions[-1].config.kinds[call.kind]
        for index in range(call.tasks):
            task = task_of_job(call, index)
            runs = self.runs_by_task.get(task, [])
            done = any(run.phase is Phase.DONE for run in runs)
            failures = sum(run.phase is Phase.FAILED for run in runs)
            done = done or failures >= kind.max_attempts
            # Nobody can tell whether work ran once its start went unheard.
            claimed = (
                schema.request_claim(task) in self._world.table.rows_by_key
            )
            started = claimed and not kind.repeatable
            serving = kind.policy is core.Policy.SERVICE and any(
                run.phase is Phase.RUNNING for run in runs
            )
            if not (done or started or serving):
                self._violate(f'{task} was accepted and never ended')
                return

    # Configuration and ownership.

    def _step(self) -> None:
        self._take_calls()
        if self._world.table.version != self._table_version:
            self._table_version = self._world.table.version
            self._read_head()
        if self._world.steps % 8 == 0:
            self._read_owners()

    def _read_head(self) -> None:
        rows = self._world.table.rows_by_key
        if schema.CONFIG_HEAD not in rows:
            return
        head = rows[schema.CONFIG_HEAD][1]['version']
        if head < self._head:
            self._violate(f'the store went back from {self._head} to {head}')
        if head != self._head:
            self._head = head
            config = core.parse(rows[schema.CONFIG][1])
            self.versions.append(Version(self._world.now, config))
            for key_id in config.withdrawn_keys:
                self.withdrawn(key_id)

    def _changed(self, node: _fakes.Node, change: effects.LogChange) -> None:
        if change.name != 'configuration-in-force':
            return
        version = change.fields['version']
        before = self._config_by_node.get(node, 0)
        if version < before:
            self._violate(f'{node.name} went back from {before} to {version}')
        self._config_by_node[node] = version
        for earlier in range(before + 1, version + 1):
            seen = self.in_force_at.setdefault(earlier, {})
            seen[node.name] = self._world.now

    def _read_owners(self) -> None:
        world = self._world
        live = {
            f'{node.name}/i{node.counter}'
            for node in world.nodes_by_name.values()
            if node.alive and not node.paused
        }
        for key in self._slice_keys():
            owner = world.table.rows_by_key[key][1]['owner']
            if owner in live:
                since = self._unowned_since.pop(key, None)
                if since is not None:
                    self._note_unowned(key, since)
            else:
                self._unowned_since.setdefault(key, world.now)

    def _slice_keys(self) -> Iterator[str]:
        rows = self._world.table.rows_by_key
        for key in rows.irange(minimum=schema.SLICES):
            if not key.startswith(schema.SLICES):
                return
            yield key

    def _note_unowned(self, key: str, since: float) -> None:
        self.unowned_s = max(self.unowned_s, self._world.now - since)

    def _stopped(self, node: _fakes.Node) -> None:
        for call in self._world.calls[-10_000:]:
            if call.taken_by is node and call.ended_at is None:
                self._violate(f'{call.name} was cut off by a shutdown')

    def _violate(self, what: str) -> None:
        # One line for each kind of violation tells enough of a run.
        sort = _NUMBER.sub('', what)
        if sort not in self._seen:
            self._seen.add(sort)
            self.violations.append(f'{self._world.now:.3f}: {what}')
