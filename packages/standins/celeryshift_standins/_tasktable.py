"""The runs of a simulated worker and their leases, without any I/O."""

import collections
from collections.abc import Callable
import enum
import heapq
from typing import Any

import attrs

MAX_ANSWERED_REQUESTS = 1000


class Phase(enum.Enum):
    """State of a run."""

    RUNNING = 'running'
    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'


@attrs.define(eq=False)
class Run:
    """One run of a task or request.

    It is due to end at `ends_at`, and has ended at `ended_at`.
    """

    id: str
    team: str
    kind: str
    size: dict[str, int]
    started_at: float
    ends_at: float
    will_fail: bool
    request: bool
    answer: Any = None
    leased_until: float | None = None
    phase: Phase = Phase.RUNNING
    ended_at: float | None = None
    sequence: int = 0
    used: dict[str, int] = attrs.field(factory=dict)
    throttled: bool = False


class TaskTable:
    """Simulated execution of tasks under leases.

    Runs are started without a check of the worker's capacity or of runs of
    the same task on other workers, so that tests can detect such faults of
    nodes. All times are passed in, so that the table works in virtual time
    too. A request has no lease; its run ends at its timeout at the latest.
    """

    def __init__(self, boot: str = 'b0') -> None:
        self.boot = boot
        self.fails_all = False
        self.runs_by_id: dict[str, Run] = {}
        self.history: list[Run] = []
        self.on_change: list[Callable[[Run], None]] = []
        self._sequence = 0
        self._answered: collections.deque[str] = collections.deque()
        self._due: list[tuple[float, int, str]] = []

    def start(
        self,
        now: float,
        run_id: str,
        team: str,
        kind: str,
        size: dict[str, int],
        run_s: float,
        lease_s: float | None,
        will_fail: bool = False,
        answer: Any = None,
    ) -> Run:
        """Start a run, unless the id is known; return the run."""
        self.advance(now)
        existing = self.runs_by_id.get(run_id)
        if existing is not None:
            return existing
        run = Run(
            run_id,
            team,
            kind,
            size,
            now,
            now + run_s,
            will_fail or self.fails_all,
            lease_s is None,
            answer,
            None if lease_s is None else now + lease_s,
        )
        self.runs_by_id[run_id] = run
        self.history.append(run)
        self._mark_changed(run)
        self._schedule(run)
        self._notify(run)
        return run

    def stop(self, now: float, run_id: str) -> bool:
        """Stop a run; return whether it was running."""
        self.advance(now)
        run = self.runs_by_id.get(run_id)
        if run is None or run.phase is not Phase.RUNNING:
            return False
        self._finish(run, now, Phase.STOPPED)
        return True

    def sync(
        self, now: float, cursor: str, lease_s: float, acknowledged: list[str]
    ) -> tuple[str, bool, list[Run]]:
        """Renew every lease; return a new cursor and the changed runs.

        The second value tells whether the list has all runs, also those of
        requests, instead of the tasks' runs that changed after the given
        cursor. This is so if the cursor is empty or was returned before the
        worker restarted.
        """
        self.advance(now)
        for run_id in acknowledged:
            run = self.runs_by_id.get(run_id)
            if run is not None and run.phase is not Phase.RUNNING:
                del self.runs_by_id[run_id]
        if lease_s > 0:
            self._renew(now, lease_s)
        boot, _, sequence = cursor.partition(':')
        is_full = boot != self.boot
        since = -1 if is_full else int(sequence)
        changed = [
            run
            for run in self.runs_by_id.values()
            if run.sequence > since and (is_full or not run.request)
        ]
        changed.sort(key=lambda run: run.sequence)
        return f'{self.boot}:{self._sequence}', is_full, changed

    def has_changes(self, cursor: str) -> bool:
        """Return whether a sync with this cursor has anything to report.

        That is a changed run, or the list of all runs after a restart.
        """
        boot, _, sequence = cursor.partition(':')
        if boot != self.boot:
            return True
        since = int(sequence)
        return since < self._sequence and any(
            run.sequence > since and not run.request
            for run in self.runs_by_id.values()
        )

    def advance(self, now: float) -> None:
        """End the runs that are due, and those whose lease has expired."""
        while self._due and self._due[0][0] <= now:
            at, _, run_id = heapq.heappop(self._due)
            run = self.runs_by_id.get(run_id)
            if run is None or run.phase is not Phase.RUNNING:
                continue
            if run.ends_at <= at:
                phase = Phase.FAILED if run.will_fail else Phase.DONE
                self._finish(run, at, phase)
            elif run.leased_until is not None and run.leased_until <= at:
                self._finish(run, at, Phase.STOPPED)
            else:
                self._schedule(run)

    @property
    def next_end_at(self) -> float | None:
        """Return the earliest time at which a run may end, or None."""
        return self._due[0][0] if self._due else None

    def running(self) -> list[Run]:
        """Return the runs that have not ended."""
        return [
            run
            for run in self.runs_by_id.values()
            if run.phase is Phase.RUNNING
        ]

    def mark_answered(self, run_id: str) -> None:
        """Mark a request as answered.

        The last MAX_ANSWERED_REQUESTS are kept, so that their outcome can be
        queried; older ones are discarded.
        """
        self._answered.append(run_id)
        if len(self._answered) > MAX_ANSWERED_REQUESTS:
            self.runs_by_id.pop(self._answered.popleft(), None)

    def _renew(self, now: float, lease_s: float) -> None:
        for run in self.runs_by_id.values():
            if run.phase is Phase.RUNNING and run.leased_until is not None:
                run.leased_until = max(run.leased_until, now + lease_s)

    def _schedule(self, run: Run) -> None:
        at = run.ends_at
        if run.leased_until is not None:
            at = min(at, run.leased_until)
        heapq.heappush(self._due, (at, run.sequence, run.id))

    def _finish(self, run: Run, at: float, phase: Phase) -> None:
        run.phase = phase
        run.ended_at = at
        self._mark_changed(run)
        self._notify(run)

    def _notify(self, run: Run) -> None:
        for callback in self.on_change:
            callback(run)

    def _mark_changed(self, run: Run) -> None:
        # A request is answered over its connection; its changes don't
        # complete a pending sync.
        if not run.request:
            self._sequence += 1
        run.sequence = self._sequence
