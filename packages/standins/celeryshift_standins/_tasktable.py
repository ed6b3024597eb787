"""The tasks of a worker and their leases, apart from any I/O."""

import collections
from collections.abc import Callable
import enum
import heapq
from typing import Any

import attrs

KEPT_ANSWERS = 1000


class Phase(enum.Enum):
    """Say how far a task has come."""

    RUNNING = 'running'
    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'


@attrs.define(eq=False)
class Run:
    """Hold one run of a task or request."""

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
    """Run tasks under leases, with no guards: all that is asked is run.

    Times are given by the caller, so that the table also serves in virtual
    time. A run without a lease, as of a request, ends at its timeout.
    """

    def __init__(self, boot: str = 'b0') -> None:
        self.boot = boot
        self.fails_all = False
        self.runs_by_id: dict[str, Run] = {}
        self.history: list[Run] = []
        self.on_change: list[Callable[[Run], None]] = []
        self._sequence = 0
        self._answered: collections.deque[str] = collections.deque()
        self._ends: list[tuple[float, int, str]] = []

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
        """Start a run; one with a known id is not started again."""
        self.advance(now)
        known = self.runs_by_id.get(run_id)
        if known is not None:
            return known
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
        self._touch(run)
        self._schedule(run)
        self._show(run)
        return run

    def stop(self, now: float, run_id: str) -> bool:
        """Stop a run; tell whether it was running."""
        self.advance(now)
        run = self.runs_by_id.get(run_id)
        if run is None or run.phase is not Phase.RUNNING:
            return False
        self._end(run, now, Phase.STOPPED)
        return True

    def sync(
        self, now: float, cursor: str, lease_s: float, acknowledged: list[str]
    ) -> tuple[str, bool, list[Run]]:
        """Renew every lease; give the cursor, and the runs changed since.

        The whole list is given for a cursor that this boot did not make.
        """
        self.advance(now)
        for run_id in acknowledged:
            run = self.runs_by_id.get(run_id)
            if run is not None and run.phase is not Phase.RUNNING:
                del self.runs_by_id[run_id]
        if lease_s > 0:
            self._renew(now, lease_s)
        boot, _, sequence = cursor.partition(':')
        whole = boot != self.boot
        since = -1 if whole else int(sequence)
        changed = [
            run
            for run in self.runs_by_id.values()
            if run.sequence > since and (whole or not run.request)
        ]
        changed.sort(key=lambda run: run.sequence)
        return f'{self.boot}:{self._sequence}', whole, changed

    def has_news(self, cursor: str) -> bool:
        """Tell whether a sync from the cursor would report anything."""
        boot, _, sequence = cursor.partition(':')
        if boot != self.boot:
            return True
        since = int(sequence)
        return since < self._sequence and any(
            run.sequence > since and not run.request
            for run in self.runs_by_id.values()
        )

    def advance(self, now: float) -> None:
        """End the runs that are due, and those whose lease has lapsed."""
        while self._ends and self._ends[0][0] <= now:
            at, _, run_id = heapq.heappop(self._ends)
            run = self.runs_by_id.get(run_id)
            if run is None or run.phase is not Phase.RUNNING:
                continue
            if run.ends_at <= at:
                phase = Phase.FAILED if run.will_fail else Phase.DONE
                self._end(run, at, phase)
            elif run.leased_until is not None and run.leased_until <= at:
                self._end(run, at, Phase.STOPPED)
            else:
                self._schedule(run)

    @property
    def next_at(self) -> float | None:
        """Give the time at which some run may end."""
        return self._ends[0][0] if self._ends else None

    def running(self) -> list[Run]:
        """List the runs that have not ended."""
        return [
            run
            for run in self.runs_by_id.values()
            if run.phase is Phase.RUNNING
        ]

    def forget(self, run_id: str) -> None:
        """Forget a request that was answered, but for the latest ones."""
        self._answered.append(run_id)
        if len(self._answered) > KEPT_ANSWERS:
            self.runs_by_id.pop(self._answered.popleft(), None)

    def _renew(self, now: float, lease_s: float) -> None:
        for run in self.runs_by_id.values():
            if run.phase is Phase.RUNNING and run.leased_until is not None:
                run.leased_until = max(run.leased_until, now + lease_s)

    def _schedule(self, run: Run) -> None:
        at = run.ends_at
        if run.leased_until is not None:
            at = min(at, run.leased_until)
        heapq.heappush(self._ends, (at, run.sequence, run.id))

    def _end(self, run: Run, at: float, phase: Phase) -> None:
        run.phase = phase
        run.ended_at = at
        self._touch(run)
        self._show(run)

    def _show(self, run: Run) -> None:
        for watch in self.on_change:
            watch(run)

    def _touch(self, run: Run) -> None:
        # Requests are answered over their connection and wake no sync.
        if not run.request:
            self._sequence += 1
        run.sequence = self._sequence
