"""Builders of configurations, jobs and workers, and a harness for cells."""

from collections.abc import Iterable

import attrs

import celeryshift_cell as cell
from celeryshift_cell import effects
from celeryshift_cell import events
from celeryshift_cell import model

UPSTREAM = 'coding'
TEAM = 'ministry'
QUEUE = model.Queue('field', UPSTREAM, max_attempts=2, stretch=1.5)
ADVISED = model.Queue(
    'advised',
    UPSTREAM,
    max_attempts=2,
    advice=model.PolicyService(30, 0.5, 2500),
)
# Decisions take longer than most tasks, and tickets hardly longer.
SLOWLY_ADVISED = model.Queue(
    'simulations',
    UPSTREAM,
    priority=1,
    max_attempts=3,
    stretch=2.0,
    target_ms=1000.0,
    advice=model.PolicyService(900, 8, 2500),
)
LEAST_URGENT = model.Queue('weekly', UPSTREAM, priority=2, max_attempts=3)
# In millicores.
CORE = 1000


def config(
    maximum: model.Size | None = None, version: int = 1
) -> model.Config:
    """Build a configuration with some queues and one team."""
    team = model.Team(TEAM, maximum=maximum or model.Size())
    queues = {
        queue.name: queue
        for queue in (QUEUE, ADVISED, SLOWLY_ADVISED, LEAST_URGENT)
    }
    upstreams = {UPSTREAM: model.Upstream(UPSTREAM)}
    return model.Config(version, queues, {TEAM: team}, upstreams)


def step(count: int = 1, cores: float = 1, **fields: object) -> model.Step:
    """Build a step."""
    size = model.Size(int(cores * CORE), 1024)
    return model.Step(count, size, 1000, **fields)  # type: ignore[arg-type]


def job(
    name: str, *steps: model.Step, queue: str = 'field', **fields: object
) -> model.Job:
    """Build a job; a short name is padded to an id."""
    return model.Job(
        id=name.ljust(16, '0'),
        queue=queue,
        team=TEAM,
        spec='spec',
        steps=steps or (step(),),
        arrived_ms=0,
        **fields,  # type: ignore[arg-type]
    )


def entry(
    name: str, cores: int = 32, incarnation: int = 1, **fields: object
) -> model.WorkerEntry:
    """Build a worker entry."""
    fields = {'data_centre': 'here'} | fields
    return model.WorkerEntry(
        name,
        incarnation,
        UPSTREAM,
        f'{name}:80',
        capacity=model.Size(cores * CORE, 131_072),
        **fields,  # type: ignore[arg-type]
    )


class Bench:
    """Test harness that feeds events to a cell under manual control."""

    def __init__(
        self,
        workers: tuple[model.WorkerEntry, ...] = (),
        configuration: model.Config | None = None,
        epoch: int = 1,
        options: cell.Options | None = None,
    ) -> None:
        self.state = cell.Cell(epoch, options or cell.Options())
        self.now = 0.0
        # Rates of the workers' clocks, by worker id.
        self.clock_rates: dict[str, float] = {}
        # Workers that answer nothing.
        self.unreachable: set[str] = set()
        # Whether trials are stored only by ``store_records``.
        self.is_store_slow = False
        self.version = 0
        self.last_effects: list[effects.Effect] = []
        self.send(events.ConfigChanged(0.0, configuration or config()))
        self.send(events.Restored(0.0, 0, (), {}, (), (), 0.0, 0))
        # The first save stores the empty list of workers.
        self.store_records()
        if workers:
            self.join(*workers)

    def send(self, event: events.Event) -> list[effects.Effect]:
        """Apply an event at the current time and return its effects."""
        event = attrs.evolve(event, now=self.now)
        emitted = cell.reduce(self.state, event)
        for effect in list(emitted):
            if isinstance(effect, effects.PollWorker) and not effect.wait_ms:
                emitted += self._answer_reserved(effect)
        while self._has_unstored_losses() and not self.is_store_slow:
            emitted += self.store_records()
        self.last_effects = emitted
        return emitted

    def _has_unstored_losses(self) -> bool:
        """Return whether a save is in flight that a trial waits for."""
        return self.state.save_in_flight and any(
            job.stored_loss_version < job.loss_version
            for job in self.state.jobs.values()
        )

    def _answer_reserved(
        self, poll: effects.PollWorker
    ) -> list[effects.Effect]:
        """Answer a poll as a healthy worker does that is kept for a trial."""
        worker = self.state.workers.get(poll.worker_id)
        if poll.worker_id in self.unreachable:
            return []
        if worker is None or worker.reserved_until <= self.now:
            return []
        running = tuple(
            events.RunStatus(task, run, '', 0) for task, run in worker.runs
        )
        return self.answer_poll(
            poll.worker_id, running, (), worker.entry.incarnation
        )

    def effects_of(self, kind: type) -> list:
        """Return the last event's effects of one type."""
        return [
            effect for effect in self.last_effects if isinstance(effect, kind)
        ]

    def tick(self, seconds: float = 0.1) -> list[effects.Effect]:
        """Advance the time and send a tick."""
        self.now += seconds
        return self.send(events.Ticked(0.0, int(self.now * 1000)))

    def clock_ms(self, worker: str) -> float:
        """Return a worker's clock."""
        return self.now * self.clock_rates.get(worker, 1.0) * 1000

    def join(self, *entries: model.WorkerEntry) -> None:
        """Add workers and answer the first poll of each."""
        self.send(events.WorkersChanged(0.0, entries))
        for joined in entries:
            self.answer_poll(joined.id, incarnation=joined.incarnation)
        # The saves store the records of the workers.
        while self.state.save_in_flight:
            self.store_records()

    def answer_poll(
        self,
        worker: str,
        running: tuple[events.RunStatus, ...] = (),
        ended: tuple[events.RunCompletion, ...] = (),
        incarnation: int = 1,
        sent_at: float | None = None,
        sent_to: int | None = None,
    ) -> list[effects.Effect]:
        """Answer a poll with running and completed runs.

        ``sent_to`` is the incarnation that the poll named, if it is not the
        one that answers.
        """
        at = self.now if sent_at is None else sent_at
        return self.send(
            events.PollAnswered(
                0.0,
                at,
                worker,
                incarnation if sent_to is None else sent_to,
                incarnation,
                int(self.clock_ms(worker)),
                running,
                ended,
            )
        )

    def accept(self, *jobs: model.Job) -> list[effects.StartRun]:
        """Accept jobs and return the start orders."""
        starts = []
        for described in jobs:
            self.version += 1
            stored = events.StoredJob(described, self.version)
            self.send(events.JobAccepted(0.0, stored))
            starts += self.effects_of(effects.StartRun)
        return starts

    def restore(self, stored: model.Job, silent: str) -> list[effects.Effect]:
        """Restore a job and a worker that the former owner may have used."""
        return self.send(
            events.Restored(
                0.0,
                0,
                (events.StoredJob(stored, 1),),
                {},
                (),
                ((silent, 1, f'{silent}:80'),),
                in_doubt_until=7.0,
                version=3,
            )
        )

    def answer_start(
        self,
        order: effects.StartRun,
        outcome: events.Outcome = events.Outcome.DONE,
    ) -> list[effects.Effect]:
        """Answer a start order."""
        return self.send(
            events.StartAnswered(
                0.0,
                order.worker_id,
                order.incarnation,
                order.task,
                order.run,
                outcome,
                int(self.clock_ms(order.worker_id)),
            )
        )

    def evacuate(self, names: Iterable[str]) -> list[effects.StartRun]:
        """Evacuate only these data centres; return the start orders."""
        self.send(events.EvacuationsChanged(0.0, frozenset(names)))
        return self.effects_of(effects.StartRun)

    def finish_run(
        self,
        order: effects.StartRun,
        result: model.RunResult = model.RunResult.DONE,
        number: int | None = None,
        checkpoint: str = '',
    ) -> list[effects.Effect]:
        """End a run and report its result in a poll response."""
        worker = self.state.workers[order.worker_id]
        ended = events.RunCompletion(
            number or worker.last_completion + 1,
            order.task,
            order.run,
            result,
            checkpoint,
        )
        running = tuple(
            events.RunStatus(task, run, '', 0)
            for task, run in worker.runs
            if (task, run) != (order.task, order.run)
        )
        return self.answer_poll(
            order.worker_id, running, (ended,), worker.entry.incarnation
        )

    def store_records(self) -> list[effects.Effect]:
        """Confirm that the last save was stored."""
        return self.send(events.RecordsSaved(0.0))
