"""What callers may ask of a node."""

import asyncio
from collections.abc import Callable
import enum
import time
from typing import Any

import attrs

import celeryshift_cell as cell
from celeryshift_cell import events
from celeryshift_cell import model
from celeryshift_cellnode import _jobspec
from celeryshift_cellnode import _metrics
from celeryshift_cellnode import _ownership
from celeryshift_cellnode import _peers
from celeryshift_cellnode import _routing
from celeryshift_cellnode import _runner
from celeryshift_cellnode import _schema
from celeryshift_cellnode import errors
from celeryshift_cellnode import ports

# One try to store a job; the store answers in some 12 ms.
STORE_TRY_S = 1.0
# Kept from a caller's time for the answer to travel.
ANSWER_S = 0.25
# Pause between tries to find out whether a write took effect.
SETTLE_PAUSE_S = 0.1
# The owner answers from memory; without an answer the store is asked.
OWNER_TIMEOUT_S = 0.4
# Jobs are told to the owner again so often, and for so long; the owner also
# follows the table of jobs.
DELIVER_PAUSE_S = 0.2
DELIVER_FOR_S = 5.0
# Callers come back after this time when the store is away.
STORE_AWAY_RETRY_S = 1


class Verdict(enum.Enum):
    """Name the kinds of answers to callers."""

    OK = 'ok'
    # There is no such queue.
    NO_QUEUE = 'no queue'
    NO_ACCESS = 'no access'
    # There is no such job, says the store.
    NO_JOB = 'no job'
    MALFORMED = 'malformed'
    # Not accepted, and never run; the caller may come back.
    TRY_LATER = 'try later'
    UNAVAILABLE = 'unavailable'
    # Whether the job is accepted is not known.
    UNKNOWN = 'unknown'


@attrs.frozen(slots=True)
class Answer:
    """Hold the answer to a caller."""

    verdict: Verdict
    body: dict[str, Any] | None = None
    retry_after_s: int | None = None
    reason: str = ''


@attrs.frozen(slots=True)
class Call:
    """Hold what every call of a caller carries."""

    host: str
    path: str
    token: str | None
    # How long the caller waits for the answer.
    budget_s: float


class Service:
    """Answer callers, with the store and the owner of the cell."""

    def __init__(
        self,
        store: ports.Store,
        ownership: _ownership.Ownership,
        peers: _peers.Peers,
        note: Callable[..., None],
        metrics: _metrics.Metrics,
    ) -> None:
        self._store = store
        self._ownership = ownership
        self._peers = peers
        self._note = note
        self._metrics = metrics
        self.configuration: ports.Configuration | None = None
        self._router = _routing.Router(())
        self.runner: _runner.Runner | None = None
        self._deliveries: set[asyncio.Task[None]] = set()

    def configure(self, configuration: ports.Configuration) -> None:
        """Put a configuration in force."""
        self.configuration = configuration
        self._router = _routing.Router(configuration.routes)

    def admit(self, call: Call) -> tuple[ports.Route, str] | Answer:
        """Find the queue and the team of a call, or refuse it."""
        if self.configuration is None:
            return Answer(
                Verdict.UNAVAILABLE,
                retry_after_s=STORE_AWAY_RETRY_S,
                reason='no configuration yet',
            )
        route = self._router.find(call.host, call.path)
        if route is None:
            return Answer(Verdict.NO_QUEUE)
        team = self.configuration.team_by_key.get(call.token or '')
        if team is None and not route.is_public:
            return Answer(Verdict.NO_ACCESS)
        return route, team or ''

    async def submit(
        self, call: Call, describe: Callable[[str, str, str], model.Job]
    ) -> Answer:
        """Accept a job once it is stored."""
        began = time.monotonic()
        found = self.admit(call)
        if isinstance(found, Answer):
            return self._answered('submit', call, began, found)
        route, team = found
        job_id = call.path[len(route.path_prefix) :]
        try:
            job = describe(job_id, route.queue, team)
            _jobspec.check(job)
        except errors.JobError as error:
            answer = Answer(Verdict.MALFORMED, reason=str(error))
            return self._answered('submit', call, began, answer)
        until = began + call.budget_s - ANSWER_S
        answer = await self._store_job(job, until)
        if answer.verdict is Verdict.OK:
            self._deliver(job)
        return self._answered('submit', call, began, answer, team)

    async def _store_job(self, job: model.Job, until: float) -> Answer:
        live = ports.Key(_schema.JOBS, job.id)
        ended = ports.Key(_schema.ENDED, job.id)
        change = ports.Transaction(
            _schema.CELL, {live: 0, ended: 0}, {live: _schema.dump(job)}
        )
        in_doubt = False
        while True:
            left_s = until - time.monotonic()
            if left_s <= 0:
                break
            try:
                await self._store.transact(change, min(STORE_TRY_S, left_s))
            except errors.StoreRefusedError as error:
                if not in_doubt:
                    return Answer(
                        Verdict.UNAVAILABLE,
                        retry_after_s=STORE_AWAY_RETRY_S,
                        reason=str(error),
                    )
            except errors.StoreSilentError:
                # It may land later, so it must not be told as refused.
                in_doubt = True
            else:
                # A conflict means that the job is there already.
                return Answer(Verdict.OK)
            await asyncio.sleep(SETTLE_PAUSE_S)
        return Answer(Verdict.UNKNOWN, reason='no answer from the store')

    def _deliver(self, job: model.Job) -> None:
        if self.runner is not None:
            self._take([job])
            return
        body = {'jobs': [_schema.dump_parts(job)]}
        self._tell_owner('jobs', body, job.id)

    def _tell_owner(self, name: str, body: Any, job_id: str) -> None:
        work = self._tell(name, body, job_id)
        task = asyncio.get_running_loop().create_task(work)
        self._deliveries.add(task)
        task.add_done_callback(self._deliveries.discard)

    async def _tell(self, name: str, body: Any, job_id: str) -> None:
        until = time.monotonic() + DELIVER_FOR_S
        while time.monotonic() < until:
            if await self._ask_owner(name, body) is not None:
                return
            await asyncio.sleep(DELIVER_PAUSE_S)
        self._note('owner_not_told', job=job_id, what=name)

    async def _ask_owner(self, name: str, body: Any) -> Any:
        """Call the owner, which may be this node; None without an answer."""
        if self.runner is not None:
            return await self.handlers[name](body)
        owner = self._ownership.owner
        if owner is None or self._ownership.is_owner:
            return None
        try:
            answer = await self._peers.call(
                owner.address, name, body, OWNER_TIMEOUT_S
            )
        except errors.PeerError as error:
            self._note('owner_silent', owner=owner.node, error=str(error))
            return None
        return answer if answer.get('is_owner') else None

    def _take(self, jobs: list[model.Job]) -> None:
        assert self.runner is not None
        now = time.monotonic()
        for job in jobs:
            self.runner.feed(events.JobAccepted(now, job))

    @property
    def handlers(self) -> dict[str, Any]:
        """Give what other nodes may call of the owner."""
        return {
            'jobs': self._jobs_told,
            'cancel': self._cancel_told,
            'state': self._state_asked,
            'waiting': self._waiting_asked,
        }

    async def _jobs_told(self, body: Any) -> dict[str, Any]:
        if self.runner is None:
            return {'is_owner': False}
        self._take([_schema.load_parts(model.Job, j) for j in body['jobs']])
        return {'is_owner': True}

    async def _cancel_told(self, body: Any) -> dict[str, Any]:
        if self.runner is None:
            return {'is_owner': False}
        now = time.monotonic()
        self.runner.feed(events.JobCancelled(now, body['job']))
        return {'is_owner': True}

    async def _state_asked(self, body: Any) -> dict[str, Any]:
        if self.runner is None:
            return {'is_owner': False}
        job = self.runner.state.jobs.get(body['job'])
        state = None if job is None else cell.shown_state(job).value
        return {'is_owner': True, 'state': state}

    async def _waiting_asked(self, body: Any) -> dict[str, Any]:
        if self.runner is None:
            return {'is_owner': False}
        waiting = sum(
            job.spec.queue == body['queue']
            and job.state is model.JobState.QUEUED
            for job in self.runner.state.jobs.values()
        )
        return {'is_owner': True, 'waiting': waiting}

    async def state(self, call: Call) -> Answer:
        """Say how a job stands, or how many of a queue wait."""
        began = time.monotonic()
        found = self.admit(call)
        if isinstance(found, Answer):
            return self._answered('state', call, began, found)
        route, _ = found
        job_id = call.path[len(route.path_prefix) :]
        if not job_id:
            answer = await self._waiting(route.queue)
        else:
            answer = await self._state(job_id)
        return self._answered('state', call, began, answer)

    async def _waiting(self, queue: str) -> Answer:
        told = await self._ask_owner('waiting', {'queue': queue})
        if told is None:
            return Answer(
                Verdict.UNAVAILABLE,
                retry_after_s=STORE_AWAY_RETRY_S,
                reason='no answer from the owner',
            )
        return Answer(Verdict.OK, {'waiting': told['waiting']})

    async def _state(self, job_id: str) -> Answer:
        told = await self._ask_owner('state', {'job': job_id})
        if told is not None and told['state'] is not None:
            return Answer(Verdict.OK, {'state': told['state']})
        try:
            state = await self._stored_state(job_id)
        except errors.StoreError as error:
            return Answer(
                Verdict.UNAVAILABLE,
                retry_after_s=STORE_AWAY_RETRY_S,
                reason=str(error),
            )
        if state is None:
            return Answer(Verdict.NO_JOB)
        return Answer(Verdict.OK, {'state': state})

    async def _stored_state(self, job_id: str) -> str | None:
        """Read the state of a job; a job moves from the first table on."""
        live = await self._rows(_schema.JOBS, job_id)
        if live:
            if job_id + _schema.CANCEL_SUFFIX in live:
                return model.JobState.CANCELLED.value
            begun = await self._rows(_schema.PROGRESS, job_id)
            return (
                model.JobState.RUNNING.value
                if begun
                else model.JobState.QUEUED.value
            )
        ended = await self._rows(_schema.ENDED, job_id)
        if not ended:
            return None
        return _schema.load(_schema.Ended, ended[job_id].value).state

    async def _rows(self, table: str, job_id: str) -> dict[str, ports.Row]:
        last = job_id + _schema.CANCEL_SUFFIX + '\0'
        read = await self._store.read(table, _schema.CELL, job_id, last)
        return {row.key: row for row in read.rows}

    async def cancel(self, call: Call) -> Answer:
        """Cancel a job once that is stored."""
        began = time.monotonic()
        found = self.admit(call)
        if isinstance(found, Answer):
            return self._answered('cancel', call, began, found)
        route, _ = found
        job_id = call.path[len(route.path_prefix) :]
        until = began + call.budget_s - ANSWER_S
        answer = await self._store_cancel(job_id, until)
        if answer.verdict is Verdict.OK:
            self._tell_owner('cancel', {'job': job_id}, job_id)
        return self._answered('cancel', call, began, answer)

    async def _store_cancel(self, job_id: str, until: float) -> Answer:
        live = ports.Key(_schema.JOBS, job_id)
        mark = ports.Key(_schema.JOBS, job_id + _schema.CANCEL_SUFFIX)
        reason = 'no answer from the store'
        while time.monotonic() < until:
            try:
                rows = await self._rows(_schema.JOBS, job_id)
                if job_id not in rows:
                    ended = await self._rows(_schema.ENDED, job_id)
                    return Answer(Verdict.OK if ended else Verdict.NO_JOB)
                if mark.key in rows:
                    return Answer(Verdict.OK)
                change = ports.Transaction(
                    _schema.CELL, {live: rows[job_id].version}, {mark: b'{}'}
                )
                stored = await self._store.transact(change, STORE_TRY_S)
                if isinstance(stored, ports.Committed):
                    return Answer(Verdict.OK)
            except errors.StoreError as error:
                reason = str(error)
            await asyncio.sleep(SETTLE_PAUSE_S)
        return Answer(Verdict.UNKNOWN, reason=reason)

    def _answered(
        self,
        what: str,
        call: Call,
        began: float,
        answer: Answer,
        team: str = '',
    ) -> Answer:
        self._metrics.call(what, answer.verdict.value, began)
        is_news = what != 'state' or answer.verdict is not Verdict.OK
        if is_news:
            self._note(
                f'{what}_answered',
                path=call.path,
                verdict=answer.verdict.value,
                reason=answer.reason,
                team=team,
                took_ms=round((time.monotonic() - began) * 1000),
                config=self.configuration and self.configuration.version,
            )
        return answer
