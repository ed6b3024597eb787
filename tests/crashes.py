"""Workers that crash whenever a task of given jobs runs on them."""

import collections

import attrs
import builders

from celeryshift_standins import _tasktable
from celeryshift_standins import world as worlds

STEP_S = 0.05


@attrs.define(eq=False)
class Crasher:
    """Crashes the workers that run tasks of the given jobs.

    A worker crashes `after_s` after the start and is back `down_s` later. Then
    it has forgotten everything. `crashes_by_task` counts the crashes.
    """

    world: worlds.World
    jobs: tuple[str, ...]
    after_s: float = 0.0
    down_s: float = 1.0
    crashes_by_task: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )

    def run(self, for_s: float) -> None:
        """Let the world run, and crash workers meanwhile."""
        for _ in range(round(for_s / STEP_S)):
            self.world.run(STEP_S)
            for name, worker in self.world.workers_by_name.items():
                if worker.alive:
                    self._crash_if_due(name, worker)

    def _crash_if_due(self, name: str, worker: worlds.Worker) -> None:
        for run in worker.tasks.running():
            job = run.id.rpartition('~')[0].rpartition('.')[0]
            is_due = self.world.now - run.started_at >= self.after_s
            if is_due and job.rpartition(':')[2] in self.jobs:
                self.crashes_by_task[run.id.rpartition('~')[0]] += 1
                self.world.kill_worker(name)
                self.world.call_at(
                    self.world.now + self.down_s, lambda: self._restart(name)
                )
                return

    def _restart(self, name: str) -> None:
        worker = self.world.workers_by_name[name]
        crashes = sum(self.crashes_by_task.values())
        tasks = _tasktable.TaskTable(f'{name}-{crashes}')
        # The spans of the world are those of the history.
        tasks.history = worker.tasks.history
        worker.tasks = tasks
        worker.alive = True


def show(world: worlds.World, node: str, job: str) -> dict:
    """Return what a node shows of a job."""
    call = world.request_job_act(node, job, 'show', 'field', builders.token())
    world.run(0.1)
    return call.answer
