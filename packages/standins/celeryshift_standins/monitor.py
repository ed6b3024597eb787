"""Invariants of a simulation, checked while it runs.

Runs are checked whenever they start or end, calls at every 16th step of the
simulation, and the owners of slices at every 8th. The checks use only the
records of the fakes: what workers ran, what the table service has stored, what
callers were answered, and which changes nodes logged.
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

# Delays that are no violation: until a withdrawn key is refused, until a
# leaving worker gets no more tasks, until a new limit is applied, and from the
# timeout of a call to its answer.
KEY_WITHDRAWAL_GRACE_S = 3.0
LEAVING_GRACE_S = 5.0
CONFIG_PROPAGATION_S = 6.0
ANSWER_GRACE_S = 1.0

_NUMBER = re.compile(r'\d+')

Phase = _tasktable.Phase
Run = _tasktable.Run


def task_of_run(run_id: str) -> str:
    """Return the id of the task or request that a run executes."""
    return run_id.rpartition('~')[0]


def task_of_request(call: _fakes.Call) -> str:
    """Return the id of the task for a request."""
    return f'r:{call.team}:{call.name}'


def task_of_job(call: _fakes.Call, index: int) -> str:
    """Return the id of a task of a job."""
    return f'j:{call.team}:{call.name}.{index}'


def _first_task(call: _fakes.Call) -> str:
    return task_of_job(call, 0) if call.job else task_of_request(call)


@attrs.frozen
class Version:
    """A version of the configuration, and when it was written."""

    written_at: float
    config: core.Config


class Monitor:
    """Checker of the runs, answers and configurations of a simulation.

    Collects a line for each violation.
    """

    def __init__(self, world: worlds.World) -> None:
        self.violations: list[str] = []
        self.versions: list[Version] = []
        self.withdrawn_at_by_key: dict[str, float] = {}
        self.runs_by_task: dict[str, list[Run]] = collections.defaultdict(list)
        self.worker_by_run: dict[str, str] = {}
        self.longest_unowned_s = 0.0
        self.in_force_at_by_version: dict[int, dict[str, float]] = {}
        self._world = world
        self._used_by_worker: dict[str, core.Size] = {}
        self._running_by_task: dict[str, Run] = {}
        self._slots_by_team: dict[str, int] = collections.Counter()
        self._leaving_at_by_worker: dict[str, float] = {}
        self._unowned_since_by_slice: dict[str, float] = {}
        self._version_by_node: dict[_fakes.Node, int] = {}
        self._not_run_count_by_task: collections.Counter[str] = (
            collections.Counter()
        )
        self._calls_by_task: collections.Counter[str] = collections.Counter()
        self._next_call = 0
        self._open_calls: dict[int, _fakes.Call] = {}
        self._table_version = -1
        self._head_version = 0
        self._withdrawal_node_by_key: dict[str, str] = {}
        self._reported_patterns: set[str] = set()
        world.on_step.append(self._on_step)
        world.on_change.append(self._on_change)
        world.on_stop.append(self._on_stop)

    def add_worker(self, worker: _fakes.Worker) -> None:
        """Monitor the runs of a worker."""
        name = worker.vm.name
        self._used_by_worker[name] = core.Size(0)
        worker.tasks.on_change.append(
            lambda run: self._on_run_change(worker, run)
        )

    def mark_leaving(self, worker: str) -> None:
        """Record that the VM list shows a worker as leaving from now on."""
        self._leaving_at_by_worker[worker] = self._world.now

    def mark_withdrawn(self, key_id: str, node: str = '') -> None:
        """Record that a key was withdrawn, and the node that was called."""
        if key_id not in self.withdrawn_at_by_key:
            self.withdrawn_at_by_key[key_id] = self._world.now
            self._withdrawal_node_by_key[key_id] = node

    def finish(self) -> None:
        """Run the checks that are possible only at the end."""
        for call in self._world.calls:
            self._check_answered(call)
            if call.job and call.answer and call.answer.get('accepted'):
                self._check_job(call)
        for key, since in self._unowned_since_by_slice.items():
            self._record_unowned(key, since)

    def time_until_in_force_s(self, version: int) -> float:
        """Return the time from a version's write until all live nodes have it.

        Infinity if one of them has not applied it.
        """
        written = [v for v in self.versions if v.config.version == version]
        seen = self.in_force_at_by_version.get(version, {})
        live = [n for n in self._world.nodes_by_name.values() if n.alive]
        if not written or any(node.name not in seen for node in live):
            return float('inf')
        return max(seen[node.name] for node in live) - written[0].written_at

    # Checks of runs.

    def _on_run_change(self, worker: _fakes.Worker, run: Run) -> None:
        name = worker.vm.name
        size = core.Size(**run.size)
        task = task_of_run(run.id)
        if run.phase is not Phase.RUNNING:
            self._used_by_worker[name] -= size
            self._slots_by_team[run.team] -= size.slots
            if self._running_by_task.get(task) is run:
                del self._running_by_task[task]
            return
        self._used_by_worker[name] += size
        if not self._used_by_worker[name].fits(worker.vm.capacity):
            self._report(f'{name} held {self._used_by_worker[name]}')
        self._check_overlap(task, run, name)
        self._check_limit(run, size)
        self._check_repeats(task, run)
        if self._not_run_count_by_task[task] and self._all_refused(task):
            self._report(f'{task} ran after a refusal that says not run')
        leaving_at = self._leaving_at_by_worker.get(name)
        if (
            leaving_at is not None
            and self._world.now > leaving_at + LEAVING_GRACE_S
        ):
            self._report(f'{name} is leaving and was given {task}')

    def _check_overlap(self, task: str, run: Run, worker: str) -> None:
        previous = self._running_by_task.get(task)
        if previous is not None:
            # A run that is due ends only when its worker is advanced.
            other_worker = self._world.workers_by_name[
                self.worker_by_run[previous.id]
            ]
            other_worker.tasks.advance(self._world.now)
            if previous.phase is Phase.RUNNING:
                self._report(
                    f'{task} runs on {other_worker.vm.name} and {worker}'
                )
        self._running_by_task[task] = run
        self.worker_by_run[run.id] = worker

    def _check_limit(self, run: Run, size: core.Size) -> None:
        self._slots_by_team[run.team] += size.slots
        limit = self._highest_limit(run.team)
        if self._slots_by_team[run.team] > limit:
            for worker in self._world.workers_by_name.values():
                worker.tasks.advance(self._world.now)
        used = self._slots_by_team[run.team]
        if used > limit:
            self._report(f'team {run.team} held {used} slots over {limit}')

    def _highest_limit(self, team: str) -> float:
        """Return the highest limit that may still be in force on any node."""
        limit = 0.0
        for version in reversed(self.versions):
            team_config = version.config.teams.get(team)
            limit = max(limit, team_config.limit_slots if team_config else 0)
            if version.written_at < self._world.now - CONFIG_PROPAGATION_S:
                break
        return limit

    def _check_repeats(self, task: str, run: Run) -> None:
        runs = self.runs_by_task[task]
        if not run.request:
            self._check_not_rerun(task, runs)
        runs.append(run)
        kind = self.versions[-1].config.kinds.get(run.kind)
        if len(runs) > 1 and kind is not None and not kind.repeatable:
            self._report(f'{task} must not be repeated and ran {len(runs)}x')

    def _check_not_rerun(self, task: str, runs: list[Run]) -> None:
        """Check that a task that is done does not run again.

        Nodes may miss the end of a run if its worker was killed or a link
        changed after the run started; such tasks may run again.
        """
        for earlier in runs:
            name = self.worker_by_run[earlier.id]
            worker = self._world.workers_by_name[name]
            was_always_reachable = (
                worker.alive
                and self._world.links.changed_at < earlier.started_at
            )
            if earlier.phase is Phase.DONE and was_always_reachable:
                self._report(f'{task} ran again after it was done')

    # Checks of calls.

    def _check_calls(self) -> None:
        calls = self._world.calls
        while self._next_call < len(calls):
            call = calls[self._next_call]
            self._open_calls[self._next_call] = call
            self._next_call += 1
            self._calls_by_task[_first_task(call)] += 1
        if self._world.steps % 16 == 0:
            for number, call in list(self._open_calls.items()):
                if call.ended_at is not None:
                    del self._open_calls[number]
                    self._check_ended_call(call)

    def _check_ended_call(self, call: _fakes.Call) -> None:
        task = _first_task(call)
        if call.refusal is not None and call.refusal.ran is core.Ran.NO:
            self._not_run_count_by_task[task] += 1
            if task in self.runs_by_task and self._all_refused(task):
                self._report(f'{task} ran, and was refused as not run')
            if any(
                run.started_at < call.sent_at
                for run in self.runs_by_task.get(task, ())
            ):
                self._report(f'{task} had run, but a repeat says not run')
        if call.answer is not None and 'worker' in call.answer:
            runs = self.runs_by_task.get(task_of_request(call), [])
            if not any(run.phase is Phase.DONE for run in runs):
                self._report(f'{call.name} got an answer and never ran')
        withdrawn_at = self.withdrawn_at_by_key.get(call.key_id)
        if withdrawn_at is not None and call.answer is not None:
            late_s = call.sent_at - withdrawn_at
            if late_s > self._key_grace_s(call):
                self._report(
                    f'{call.name} was let in {late_s:.1f} s after its key '
                    f'{call.key_id} was withdrawn'
                )

    def _all_refused(self, task: str) -> bool:
        """Return whether every call of a task was refused as not run.

        If several calls have one name, it is unknown which of them a run
        belongs to, so only the answers of all calls together are checked.
        """
        return self._not_run_count_by_task[task] >= self._calls_by_task[task]

    def _key_grace_s(self, call: _fakes.Call) -> float:
        """Return for how long a call may pass with a key that was withdrawn.

        A node that can't learn of the withdrawal goes on accepting the key
        for `config_stale_s` after the last confirmation of its configuration.
        So may any node if links changed within KEY_WITHDRAWAL_GRACE_S.
        """
        node = call.accepted_by
        world = self._world
        if node is None:
            return KEY_WITHDRAWAL_GRACE_S
        is_stable = world.now - world.links.changed_at > KEY_WITHDRAWAL_GRACE_S
        if is_stable and self._can_learn_withdrawal(node, call.key_id):
            return KEY_WITHDRAWAL_GRACE_S
        return KEY_WITHDRAWAL_GRACE_S + node.state.options.config_stale_s

    def _can_learn_withdrawal(self, node: _fakes.Node, key_id: str) -> bool:
        """Return whether a path exists by which a node learns a withdrawal."""
        world = self._world
        seen = {node.name}
        pending = [node]
        while pending:
            current = pending.pop()
            if world.can_reach_store(
                current
            ) or current.name == self._withdrawal_node_by_key.get(key_id):
                return True
            for peer in world.nodes_by_name.values():
                if (
                    peer.name not in seen
                    and not peer.paused
                    and world.find_peer(peer, current.name)
                ):
                    seen.add(peer.name)
                    pending.append(peer)
        return False

    def _check_answered(self, call: _fakes.Call) -> None:
        node = call.accepted_by
        if call.ended_at is not None or node is None or not node.alive:
            return
        due_at = call.sent_at + ANSWER_GRACE_S
        kind = self.versions[-1].config.kinds.get(call.kind)
        due_at += kind.timeout_s if kind else node.state.options.reply_s
        if not node.paused and self._world.now > due_at:
            self._report(f'{call.name} was never given a final answer')

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
            # The outcome of a non-repeatable task may stay unknown: once its
            # at-most-once claim is stored, the answer to its start can be
            # lost, and it is not started again.
            claimed = (
                schema.request_claim(task) in self._world.table.rows_by_key
            )
            may_have_run = claimed and not kind.repeatable
            serving = kind.policy is core.Policy.SERVICE and any(
                run.phase is Phase.RUNNING for run in runs
            )
            if not (done or may_have_run or serving):
                self._report(f'{task} was accepted and never ended')
                return

    # Checks of configuration and ownership.

    def _on_step(self) -> None:
        self._check_calls()
        if self._world.table.version != self._table_version:
            self._table_version = self._world.table.version
            self._check_head()
        if self._world.steps % 8 == 0:
            self._check_owners()

    def _check_head(self) -> None:
        rows = self._world.table.rows_by_key
        if schema.CONFIG_HEAD not in rows:
            return
        head = rows[schema.CONFIG_HEAD][1]['version']
        if head < self._head_version:
            self._report(
                f'the store went back from {self._head_version} to {head}'
            )
        if head != self._head_version:
            self._head_version = head
            config = core.parse(rows[schema.CONFIG][1])
            self.versions.append(Version(self._world.now, config))
            for key_id in config.withdrawn_keys:
                self.mark_withdrawn(key_id)

    def _on_change(self, node: _fakes.Node, change: effects.LogChange) -> None:
        if change.name != 'configuration-in-force':
            return
        version = change.fields['version']
        previous = self._version_by_node.get(node, 0)
        if version < previous:
            self._report(f'{node.name} went back from {previous} to {version}')
        self._version_by_node[node] = version
        for earlier in range(previous + 1, version + 1):
            seen = self.in_force_at_by_version.setdefault(earlier, {})
            seen[node.name] = self._world.now

    def _check_owners(self) -> None:
        world = self._world
        live = {
            f'{node.name}/i{node.incarnation}'
            for node in world.nodes_by_name.values()
            if node.alive and not node.paused
        }
        for key in self._slice_keys():
            owner = world.table.rows_by_key[key][1]['owner']
            if owner in live:
                since = self._unowned_since_by_slice.pop(key, None)
                if since is not None:
                    self._record_unowned(key, since)
            else:
                self._unowned_since_by_slice.setdefault(key, world.now)

    def _slice_keys(self) -> Iterator[str]:
        rows = self._world.table.rows_by_key
        for key in rows.irange(minimum=schema.SLICES):
            if not key.startswith(schema.SLICES):
                return
            yield key

    def _record_unowned(self, key: str, since: float) -> None:
        self.longest_unowned_s = max(
            self.longest_unowned_s, self._world.now - since
        )

    def _on_stop(self, node: _fakes.Node) -> None:
        # Only the last 10,000 calls are checked.
        for call in self._world.calls[-10_000:]:
            if call.accepted_by is node and call.ended_at is None:
                self._report(f'{call.name} was cut off by a shutdown')

    def _report(self, text: str) -> None:
        # Of violations that differ only in numbers, the first is reported.
        pattern = _NUMBER.sub('', text)
        if pattern not in self._reported_patterns:
            self._reported_patterns.add(pattern)
            self.violations.append(f'{self._world.now:.3f}: {text}')
