"""State of one run of a scenario."""

import collections
from collections.abc import Callable
import hashlib
import json

import celeryshift_client
from celeryshift_standins import _fakes
from celeryshift_standins import monitor as monitors
from celeryshift_standins import world as worlds

# Time after which health checks detect that a node is paused.
HEALTH_CHECK_DELAY_S = 1.0
HEAL_WAIT_S = 30.0

Action = Callable[['Play'], None]


class Play:
    """State of one run of a scenario, which its actions read and change.

    It has the simulated world, the monitor, and the calls and measured values.
    """

    def __init__(self, seed: int) -> None:
        self.world = worlds.World(seed)
        self.monitor = monitors.Monitor(self.world)
        self.fleet = celeryshift_client.Fleet(replace=True)
        self.token_by_team: dict[str, str] = {}
        self.calls_by_label: dict[str, list[_fakes.Call]] = {}
        self.location = ''
        self.failed_expectations: list[str] = []
        self.measurements: list[str] = []
        self.wait_checks: list[Callable[[], None]] = []
        self._name_count = 0

    def unique_name(self, label: str) -> str:
        """Return a name that no other call has."""
        self._name_count += 1
        return f'{label}-{self._name_count}'

    def choose_node(self, target: str | None) -> str:
        """Choose a node as a load balancer with health checks would.

        The target is a node, a data centre or None for any node. A node that
        is paused counts as healthy for the first second. Returns an empty
        string if no node is healthy.
        """
        if target in self.world.nodes_by_name:
            return target or ''
        candidates = [
            node.name
            for node in self.world.nodes_by_name.values()
            if node.alive
            and target in (None, node.data_centre)
            and not self._fails_health_check(node)
        ]
        return self.world.rng.choice(candidates) if candidates else ''

    def record_call(self, label: str, call: _fakes.Call) -> None:
        """Add a call to those of a label."""
        self.calls_by_label.setdefault(label, []).append(call)

    def record_expectation(self, is_met: bool, description: str) -> None:
        """Record the measured value and, if it is not met, a failure."""
        self.measurements.append(description)
        if not is_met:
            self.failed_expectations.append(f'{self.location}: {description}')

    def finish(self) -> None:
        """Run the checks that are possible only at the end."""
        self.monitor.finish()

    def outcomes(self) -> list[str]:
        """Return the count of each outcome of calls, one line per label.

        The last line is the longest time for which a slice had no owner.
        """
        lines = []
        for label, calls in sorted(self.calls_by_label.items()):
            counts = collections.Counter(_outcome(call) for call in calls)
            summary = ', '.join(
                f'{n} {outcome}' for outcome, n in sorted(counts.items())
            )
            lines.append(f'{label}: {summary}')
        return [
            *lines,
            'longest without an owner: '
            f'{self.monitor.longest_unowned_s:.1f} s',
        ]

    def trace_hash(self) -> int:
        """Return a hash of the runs and calls, equal for identical runs."""
        world = self.world
        record = [
            [run.id, run.started_at, run.ended_at, run.phase.value]
            for worker in world.workers_by_name.values()
            for run in worker.tasks.history
        ]
        calls_ended = [[call.name, call.ended_at] for call in world.calls]
        text = json.dumps([world.steps, world.now, record, calls_ended])
        return int(hashlib.sha256(text.encode()).hexdigest()[:12], 16)

    def _fails_health_check(self, node: _fakes.Node) -> bool:
        paused_s = self.world.now - node.paused_at
        return node.paused and paused_s > HEALTH_CHECK_DELAY_S


def _outcome(call: _fakes.Call) -> str:
    if call.answer is not None:
        return 'answered'
    if call.refusal is None:
        return 'cut off'
    return f'{call.refusal.reason.value} (ran: {call.refusal.ran.value})'
