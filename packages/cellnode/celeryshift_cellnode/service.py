"""What callers may ask of a node."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import enum
import time
from typing import Any

import attrs

from celeryshift_cell import events
from celeryshift_cell import model
from celeryshift_cellnode import _desk
from celeryshift_cellnode import _groupwriter
from celeryshift_cellnode import _jobspec
from celeryshift_cellnode import _metrics
from celeryshift_cellnode import _reach
from celeryshift_cellnode import _records
from celeryshift_cellnode import _routing
from celeryshift_cellnode import _schema
from celeryshift_cellnode import _watchedstore
from celeryshift_cellnode import errors
from celeryshift_cellnode import ports

# One try to store a job past the owner; the store answers in some 12 ms.
STORE_TRY_S = 1.0
# Kept from a caller's time for the answer to travel.
ANSWER_S = 0.25
# A caller in a hurry gets at least so much.
MIN_BUDGET_S = 0.1
# A try at the store that has less time than this only adds to its load.
MIN_TRY_S = 0.3
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
# What no worker and no limit allows may change with workers or limits.
NEVER_FITS_RETRY_S = 60


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


STORED = _groupwriter.WriteOutcome.STORED.value
EXISTS = _groupwriter.WriteOutcome.EXISTS.value
UNKNOWN = _groupwriter.WriteOutcome.UNKNOWN.value
# The owner has surely not got the call.
NOT_ASKED = (errors.PeerRefusedError, _reach.OwnerAwayError)


def _away(reason: str) -> Answer:
    return Answer(
        Verdict.UNAVAILABLE, retry_after_s=STORE_AWAY_RETRY_S, reason=reason
    )


def _answer_by(call: Call, began: float) -> float:
    """Give when the answer has to leave to be there in time."""
    return began + max(call.budget_s - ANSWER_S, MIN_BUDGET_S)


def _left_s(until: float) -> float:
    return max(until - time.monotonic(), MIN_BUDGET_S)


class Service:
    """Answer callers, with the store and the owner of the cell."""

    def __init__(
        self,
        store: _watchedstore.WatchedStore,
        owner_link: _reach.OwnerLink,
        note: Callable[..., None],
        metrics: _metrics.Metrics,
    ) -> None:
        self._store = store
        self._owner_link = owner_link
        self._note = note
        self._metrics = metrics
        self.configuration: ports.Configuration | None = None
        self._router = _routing.Router(())
        # Answers for the owner, if this node is one.
        self.desk = _desk.Desk()
        self._deliveries: set[asyncio.Task[None]] = set()

    def configure(self, configuration: ports.Configuration) -> None:
        """Put a configuration in force, unless a later one is."""
        known = self.configuration
        if known is not None and known.version >= configuration.version:
            return
        self.configuration = configuration
        self._router = _routing.Router(configuration.routes)

    def admit(self, call: Call) -> tuple[ports.Route, str] | Answer:
        """Find the queue and the team of a call, or refuse it."""
        if self.configuration is None:
            return _away('no configuration yet')
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
            job = attrs.evolve(job, policy=self._policy(route.queue))
        except errors.JobError as error:
            answer = Answer(Verdict.MALFORMED, reason=str(error))
            return self._answered('submit', call, began, answer)
        answer = await self._accept(job, _answer_by(call, began))
        return self._answered('submit', call, began, answer, team)

    def _policy(self, queue: str) -> model.Queue | None:
        assert self.configuration is not None
        return self.configuration.cell.queues_by_name.get(queue)

    async def _accept(self, job: model.Job, until: float) -> Answer:
        """Let the owner store a job, or else store it past the owner."""
        in_doubt = False
        while True:
            answer, may_be_stored = await self._ask_to_accept(job, until)
            if answer is not None:
                return answer
            in_doubt = in_doubt or may_be_stored
            if self._store.is_away and not in_doubt:
                return _away('neither the store nor an owner answers')
            if not (self._store.is_slow or self._store.is_away):
                break
            # Through a slow store, writes of many nodes would hold up the
            # next owner; past a store that is away from here alone, only
            # that owner can settle the matter. It will be here soon.
            if time.monotonic() > until - OWNER_TIMEOUT_S:
                reason = 'the store is slow or away, and no owner answers'
                if in_doubt:
                    return Answer(Verdict.UNKNOWN, reason=reason)
                return _away(reason)
            await asyncio.sleep(SETTLE_PAUSE_S)
        answer, version = await self._store_job(job, until, in_doubt)
        if version:
            self._deliver(events.StoredJob(job, version))
        return answer

    async def _ask_to_accept(
        self, job: model.Job, until: float
    ) -> tuple[Answer | None, bool]:
        """Ask the owner to store a job.

        Gives its answer, or else whether it may store the job all the same.
        """
        body = {'job': _schema.dump_parts(job)}
        try:
            # An owner that is there is waited for: the store is slow then,
            # and further writes would make it slower.
            told = await self._ask_owner('accept', body, _left_s(until))
        except errors.PeerError as error:
            # Unless it surely has not got the call, the owner may still
            # store the job. Storing the same row here settles the matter.
            return None, not isinstance(error, NOT_ASKED)
        written = told['written']
        if written in (STORED, EXISTS):
            return Answer(Verdict.OK), False
        if written == _desk.IMPOSSIBLE:
            answer = Answer(
                Verdict.TRY_LATER,
                retry_after_s=NEVER_FITS_RETRY_S,
                reason=told['reason'],
            )
            return answer, False
        return None, written == UNKNOWN

    async def _store_job(
        self, job: model.Job, until: float, in_doubt: bool
    ) -> tuple[Answer, int]:
        """Store a job; gives the version of its row if it is a new one."""
        live = ports.Key(_schema.JOBS, job.id)
        ended = ports.Key(_schema.ENDED, job.id)
        change = ports.Transaction(
            _schema.CELL, {live: 0, ended: 0}, {live: _schema.dump(job)}
        )
        pause_s = SETTLE_PAUSE_S
        while (left_s := until - time.monotonic()) > MIN_TRY_S:
            try:
                stored = await self._store.transact(
                    change, min(STORE_TRY_S, left_s)
                )
            except errors.StoreRefusedError as error:
                if not in_doubt:
                    return _away(str(error)), 0
            except errors.StoreOutcomeUnknownError:
                # It may land later, so it must not be told as refused.
                in_doubt = True
            else:
                if isinstance(stored, ports.Committed):
                    return Answer(Verdict.OK), stored.version
                # The job is there already; the owner follows the table.
                return Answer(Verdict.OK), 0
            await asyncio.sleep(pause_s)
            pause_s *= 2
        return Answer(Verdict.UNKNOWN, reason='no answer from the store'), 0

    def _deliver(self, stored: events.StoredJob) -> None:
        if self.desk.runner is not None:
            self.desk.take(stored)
            return
        body = {
            'job': _schema.dump_parts(stored.job),
            'version': stored.version,
        }
        self._tell_owner('job', body, stored.job.id)

    def _tell_owner(self, name: str, body: Any, job_id: str) -> None:
        work = self._tell(name, body, job_id)
        task = asyncio.get_running_loop().create_task(work)
        self._deliveries.add(task)
        task.add_done_callback(self._deliveries.discard)

    async def _tell(self, name: str, body: Any, job_id: str) -> None:
        until = time.monotonic() + DELIVER_FOR_S
        reason = ''
        while time.monotonic() < until:
            try:
                await self._ask_owner(name, body)
                return
            except errors.PeerError as error:
                reason = str(error)
            await asyncio.sleep(DELIVER_PAUSE_S)
        self._note('owner_not_told', job=job_id, what=name, error=reason)

    async def _ask_owner(
        self, name: str, body: Any, timeout_s: float = OWNER_TIMEOUT_S
    ) -> Any:
        """Call the owner, which may be this node.

        Raises ``PeerError`` without an answer; one of ``NOT_ASKED`` if the
        owner surely has done nothing.
        """
        if self.desk.runner is not None:
            answer = await self.desk.handlers[name](body)
        else:
            answer = await self._owner_link.ask(name, body, timeout_s)
        if not answer['is_owner']:
            raise _reach.OwnerAwayError('the node asked is not the owner')
        return answer

    async def _about_job(
        self,
        what: str,
        call: Call,
        find: Callable[[ports.Route, str], Awaitable[Answer]],
    ) -> Answer:
        """Answer a call about a job that was handed in before."""
        began = time.monotonic()
        found = self.admit(call)
        if not isinstance(found, Answer):
            route, _ = found
            found = await find(route, call.path[len(route.path_prefix) :])
        return self._answered(what, call, began, found)

    async def get_state(self, call: Call) -> Answer:
        """Say how a job stands, or how many of a queue wait."""

        async def find(route: ports.Route, job_id: str) -> Answer:
            if not job_id:
                return await self._waiting(route.queue)
            return await self._state(job_id)

        return await self._about_job('state', call, find)

    async def _waiting(self, queue: str) -> Answer:
        try:
            told = await self._ask_owner('waiting', {'queue': queue})
        except errors.PeerError as error:
            return _away(str(error))
        return Answer(Verdict.OK, {'waiting': told['waiting']})

    async def _state(self, job_id: str) -> Answer:
        try:
            told = await self._ask_owner('state', {'job': job_id})
            if told['state'] is not None:
                return Answer(Verdict.OK, {'state': told['state']})
        except errors.PeerError as error:
            if self._store.is_away:
                return _away(str(error))
        try:
            state = await self._stored_state(job_id)
        except errors.StoreError as error:
            return _away(str(error))
        if state is None:
            return Answer(Verdict.NO_JOB)
        return Answer(Verdict.OK, {'state': state})

    async def _stored_state(self, job_id: str) -> str | None:
        """Read the state of a job; a job moves from the first table on."""
        live = await self._rows(_schema.JOBS, job_id)
        if live:
            if _records.cancel_key(job_id).key in live:
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
        last = _records.cancel_key(job_id).key + '\0'
        read = await self._store.read(table, _schema.CELL, job_id, last)
        return {row.key: row for row in read.rows}

    async def cancel(self, call: Call) -> Answer:
        """Cancel a job once that is stored."""
        until = _answer_by(call, time.monotonic())

        async def find(route: ports.Route, job_id: str) -> Answer:
            return await self._cancel(job_id, until)

        return await self._about_job('cancel', call, find)

    async def _cancel(self, job_id: str, until: float) -> Answer:
        try:
            told = await self._ask_owner(
                'cancel', {'job': job_id}, _left_s(until)
            )
            if told['written'] == STORED:
                return Answer(Verdict.OK)
        except errors.PeerError as error:
            if self._store.is_away:
                return _away(str(error))
        return await self._store_cancel(job_id, until)

    async def _store_cancel(self, job_id: str, until: float) -> Answer:
        live = ports.Key(_schema.JOBS, job_id)
        mark = _records.cancel_key(job_id)
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
                    self._tell_owner('cancelled', {'job': job_id}, job_id)
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
