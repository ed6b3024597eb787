"""Handles calls of clients, which submit, query and cancel jobs."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import time
from typing import Any

import attrs

from celeryshift_cell import events
from celeryshift_cell import model
from celeryshift_cellnode import _answers
from celeryshift_cellnode import _connectivity
from celeryshift_cellnode import _groupwriter
from celeryshift_cellnode import _jobrows
from celeryshift_cellnode import _jobspec
from celeryshift_cellnode import _memory
from celeryshift_cellnode import _metrics
from celeryshift_cellnode import _ownerservice
from celeryshift_cellnode import _routing
from celeryshift_cellnode import _schema
from celeryshift_cellnode import _watchedstore
from celeryshift_cellnode import errors
from celeryshift_cellnode import ports

# Timeout of one attempt to store a job without the owner; the store answers in
# about 12 ms.
STORE_ATTEMPT_TIMEOUT_S = 1.0
# Part of a client's timeout that is reserved for sending the answer.
ANSWER_MARGIN_S = 0.25
# Minimum time for a call, even if the client's timeout is shorter.
MIN_TIMEOUT_S = 0.1
# An attempt with less time than this would only add to the store's load.
MIN_ATTEMPT_S = 0.3
# Delay between attempts to accept or cancel a job. It doubles after each
# attempt to store a job without the owner.
RETRY_DELAY_S = 0.1
# Timeout of calls that the owner answers from memory; without an answer the
# store is read.
OWNER_TIMEOUT_S = 0.4
# Interval and duration of the attempts to notify the owner of a stored job or
# cancellation; the owner also follows the table of jobs.
NOTIFY_RETRY_DELAY_S = 0.2
NOTIFY_PERIOD_S = 5.0
# Clients retry after this time if no worker or limit allows the job; both may
# change.
NEVER_FITS_RETRY_S = 60
# A client chooses its path, which may be as long as a request line.
MAX_LOGGED_CHARS = 200


Verdict = _answers.Verdict
Answer = _answers.Answer
Call = _answers.Call
VERDICT_BY_CANCEL_OUTCOME = {
    _jobrows.CancelOutcome.CANCELLED: Verdict.OK,
    _jobrows.CancelOutcome.ENDED: Verdict.OK,
    _jobrows.CancelOutcome.NO_JOB: Verdict.NO_JOB,
    _jobrows.CancelOutcome.UNKNOWN: Verdict.UNKNOWN,
}
STORED = _groupwriter.WriteOutcome.STORED.value
EXISTS = _groupwriter.WriteOutcome.EXISTS.value
UNKNOWN = _groupwriter.WriteOutcome.UNKNOWN.value
# Errors after which the owner has certainly not received the call.
NOT_DELIVERED = (errors.PeerRefusedError, _connectivity.OwnerUnavailableError)


def _answer_deadline(call: Call, started_at: float) -> float:
    """Return when the answer must be sent to arrive in time."""
    return started_at + max(call.timeout_s - ANSWER_MARGIN_S, MIN_TIMEOUT_S)


def _remaining_s(deadline: float) -> float:
    return max(deadline - time.monotonic(), MIN_TIMEOUT_S)


class Service:
    """Handler of client calls, which calls the owner or uses the store."""

    def __init__(
        self,
        store: _watchedstore.WatchedStore,
        owner_client: _connectivity.OwnerClient,
        log_decision: Callable[..., None],
        metrics: _metrics.Metrics,
        row_bytes: int,
        allowance: _memory.Allowance | None = None,
    ) -> None:
        self._store = store
        self._owner_client = owner_client
        self._log_decision = log_decision
        self._metrics = metrics
        self._row_bytes = row_bytes
        self._allowance = allowance or _memory.Allowance()
        self._job_rows = _jobrows.JobRows(store)
        self.configuration: ports.Configuration | None = None
        self._router = _routing.Router(())
        # Handles requests to the owner while this node is the owner.
        self.owner_service = _ownerservice.OwnerService(
            lambda: store.is_slow or store.is_unavailable
        )
        self._notifications: set[asyncio.Task[None]] = set()

    def configure(self, configuration: ports.Configuration) -> None:
        """Apply a configuration, unless a later one is in force."""
        current = self.configuration
        if current is not None and current.version >= configuration.version:
            return
        self.configuration = configuration
        self._router = _routing.Router(configuration.routes)

    def authorize(self, call: Call) -> tuple[ports.Route, str] | Answer:
        """Return the route and the team of a call, or an error answer."""
        if self.configuration is None:
            return _answers.unavailable('no configuration yet')
        route = self._router.find(call.host, call.path)
        if route is None:
            return Answer(Verdict.NO_QUEUE)
        team = self.configuration.team_by_key.get(call.token or '')
        if team is None and not route.is_public:
            return Answer(Verdict.NO_ACCESS)
        return route, team or ''

    @property
    def max_body_bytes(self) -> int:
        """Return the size of the largest body that is accepted."""
        configuration = self.configuration or ports.Configuration(
            model.Config()
        )
        return configuration.max_body_bytes

    def refuse(self, call: Call) -> Answer | None:
        """Return the answer to a submission that is not authorized, or None.

        It does not depend on the body, which need not be read for it.
        """
        authorized = self.authorize(call)
        if not isinstance(authorized, Answer):
            return None
        return self._record_answer(
            'submit', call, time.monotonic(), authorized
        )

    def refuse_body(
        self, call: Call, started_at: float, error: Exception
    ) -> Answer:
        """Return the answer to a submission whose body was not read."""
        answer = _answers.for_unread_body(error)
        return self._record_answer('submit', call, started_at, answer)

    async def submit(
        self, call: Call, build_job: Callable[[str, str, str], model.Job]
    ) -> Answer:
        """Accept a job once it is stored."""
        started_at = time.monotonic()
        authorized = self.authorize(call)
        if isinstance(authorized, Answer):
            return self._record_answer('submit', call, started_at, authorized)
        route, team = authorized
        job_id = call.path[len(route.path_prefix) :]
        try:
            job = build_job(job_id, route.queue, team)
            job = attrs.evolve(job, policy=self._queue_policy(route.queue))
            _jobspec.validate(job, self._row_bytes)
        except errors.JobError as error:
            answer = Answer(Verdict.MALFORMED, reason=str(error))
            return self._record_answer('submit', call, started_at, answer)
        answer = await self._accept_job(
            job, _answer_deadline(call, started_at)
        )
        return self._record_answer('submit', call, started_at, answer, team)

    def _queue_policy(self, queue: str) -> model.Queue | None:
        assert self.configuration is not None
        return self.configuration.cell.queues_by_name.get(queue)

    async def _accept_job(self, job: model.Job, deadline: float) -> Answer:
        """Have the owner store a job, or store it without the owner."""
        in_doubt = False
        while True:
            answer, may_be_stored = await self._request_accept(
                job, deadline, in_doubt
            )
            if answer is not None:
                return answer
            in_doubt = in_doubt or may_be_stored
            if self._store.is_unavailable and not in_doubt:
                return _answers.unavailable(
                    'neither the store nor an owner answers'
                )
            if not (self._store.is_slow or self._store.is_unavailable):
                break
            # On a slow store, writes of many nodes would delay the next owner.
            # If this node alone cannot reach the store, only the next owner
            # can find out whether the job is stored. It is expected soon.
            if time.monotonic() > deadline - OWNER_TIMEOUT_S:
                reason = 'the store is slow or away, and no owner answers'
                if in_doubt:
                    return Answer(Verdict.UNKNOWN, reason=reason)
                return _answers.unavailable(reason)
            await asyncio.sleep(RETRY_DELAY_S)
        if not (in_doubt or self._allowance.take(job)):
            return _answers.unavailable(
                'no owner answers, and this node has stored as many jobs '
                'without one as it may'
            )
        answer, version = await self._store_job(job, deadline, in_doubt)
        if version:
            self._notify_owner_of_job(events.StoredJob(job, version))
        return answer

    async def _request_accept(
        self, job: model.Job, deadline: float, in_doubt: bool
    ) -> tuple[Answer | None, bool]:
        """Ask the owner to store a job, which an earlier call may have stored.

        Returns the answer to the client; or None, and whether the owner may
        still store the job.
        """
        body = {'job': _schema.unstructure(job), 'in_doubt': in_doubt}
        try:
            # The call may take until the deadline: an owner that is running
            # but does not answer waits for a slow store, and a write by this
            # node would make the store slower.
            reply = await self._call_owner(
                'accept', body, _remaining_s(deadline)
            )
            return self._interpret_accept(reply)
        except errors.PeerError as error:
            # Unless the owner has certainly not received the call, it may
            # still store the job. Storing the same row here settles the
            # outcome.
            return None, not isinstance(error, NOT_DELIVERED)

    def _interpret_accept(
        self, reply: dict[str, Any]
    ) -> tuple[Answer | None, bool]:
        """Return what the owner's reply means, as ``_request_accept`` does."""
        written = reply['written']
        if written in (STORED, EXISTS):
            if written == STORED:
                self._allowance.handle_accepted()
            return Answer(Verdict.OK), False
        if written == _ownerservice.WITHDRAWN:
            return _answers.withdrawn(), False
        if written == _ownerservice.IMPOSSIBLE:
            answer = Answer(
                Verdict.TRY_LATER,
                retry_after_s=NEVER_FITS_RETRY_S,
                reason=reply['reason'],
            )
            return answer, False
        if written == _ownerservice.OVERLOADED:
            answer = Answer(
                Verdict.TRY_LATER,
                retry_after_s=reply['retry_after_s'],
                reason=reply['reason'],
            )
            return answer, False
        if written == _ownerservice.REJECTED:
            return Answer(Verdict.MALFORMED, reason=reply['reason']), False
        return None, written == UNKNOWN

    async def _store_job(
        self, job: model.Job, deadline: float, in_doubt: bool
    ) -> tuple[Answer, int]:
        """Store a job without the owner.

        Returns the answer to the client, and the version of the row, or 0
        unless this call has certainly stored it.
        """
        live_key = ports.Key(_schema.JOBS, job.id)
        ended_key = ports.Key(_schema.ENDED, job.id)
        change = ports.Transaction(
            _schema.CELL,
            {live_key: 0, ended_key: 0},
            {live_key: _schema.dump(job)},
        )
        delay_s = RETRY_DELAY_S
        while (remaining_s := deadline - time.monotonic()) > MIN_ATTEMPT_S:
            try:
                stored = await self._store.transact(
                    change, min(STORE_ATTEMPT_TIMEOUT_S, remaining_s)
                )
            except errors.StoreRejectedError as error:
                if not in_doubt:
                    return Answer(Verdict.MALFORMED, reason=str(error)), 0
                break
            except errors.StoreRefusedError as error:
                if not in_doubt:
                    return _answers.unavailable(str(error)), 0
            except errors.StoreOutcomeUnknownError:
                # The write may take effect later, so the job must not be
                # reported as refused.
                in_doubt = True
            else:
                if isinstance(stored, ports.Committed):
                    return Answer(Verdict.OK), stored.version
                ended = stored.rows.get(ended_key)
                if ended is not None and _schema.is_withdrawn(ended.value):
                    return _answers.withdrawn(), 0
                # The job or its final state is stored already. The owner need
                # not be notified, because it follows the table of jobs.
                return Answer(Verdict.OK), 0
            await asyncio.sleep(delay_s)
            delay_s *= 2
        return Answer(Verdict.UNKNOWN, reason='no answer from the store'), 0

    def _notify_owner_of_job(self, stored: events.StoredJob) -> None:
        if self.owner_service.runner is not None:
            self.owner_service.add_job(stored)
            return
        body = {
            'job': _schema.unstructure(stored.job),
            'version': stored.version,
        }
        self._notify_owner('job', body, stored.job.id)

    def _notify_owner(self, name: str, body: Any, job_id: str) -> None:
        work = self._notify_until_received(name, body, job_id)
        task = asyncio.get_running_loop().create_task(work)
        self._notifications.add(task)
        task.add_done_callback(self._notifications.discard)

    async def _notify_until_received(
        self, name: str, body: Any, job_id: str
    ) -> None:
        deadline = time.monotonic() + NOTIFY_PERIOD_S
        reason = ''
        while time.monotonic() < deadline:
            try:
                await self._call_owner(name, body)
                return
            except errors.PeerError as error:
                reason = str(error)
            await asyncio.sleep(NOTIFY_RETRY_DELAY_S)
        self._log_decision(
            'owner_not_told', job=job_id, what=name, error=reason
        )

    async def _call_owner(
        self, name: str, body: Any, timeout_s: float = OWNER_TIMEOUT_S
    ) -> Any:
        """Call the owner, which may be this node.

        Raises ``PeerError`` if the owner does not answer. The error is one of
        ``NOT_DELIVERED`` if the owner has certainly not received the call.
        """
        if self.owner_service.runner is not None:
            try:
                async with asyncio.timeout(timeout_s):
                    answer = await self.owner_service.handlers[name](body)
            except TimeoutError as error:
                raise errors.PeerError(f'{name}: no answer') from error
        else:
            answer = await self._owner_client.call(name, body, timeout_s)
        if not answer['is_owner']:
            raise _connectivity.OwnerUnavailableError(
                'the node asked is not the owner'
            )
        return answer

    async def _answer_about_job(
        self,
        operation: str,
        call: Call,
        answer_job: Callable[[ports.Route, str], Awaitable[Answer]],
    ) -> Answer:
        """Answer a call about a job that was submitted earlier."""
        started_at = time.monotonic()
        answer = self.authorize(call)
        if not isinstance(answer, Answer):
            route, _ = answer
            answer = await answer_job(
                route, call.path[len(route.path_prefix) :]
            )
        return self._record_answer(operation, call, started_at, answer)

    async def get_state(self, call: Call) -> Answer:
        """Return the state of a job, or the length of a queue."""

        async def answer_job(route: ports.Route, job_id: str) -> Answer:
            if not job_id:
                return await self._count_waiting(route.queue)
            return await self._job_state(job_id)

        return await self._answer_about_job('state', call, answer_job)

    async def _count_waiting(self, queue: str) -> Answer:
        try:
            reply = await self._call_owner('waiting', {'queue': queue})
            return Answer(Verdict.OK, {'waiting': reply['waiting']})
        except errors.PeerError as error:
            return _answers.unavailable(str(error))

    async def _job_state(self, job_id: str) -> Answer:
        try:
            reply = await self._call_owner('state', {'job': job_id})
            if reply['state'] is not None:
                return Answer(Verdict.OK, {'state': reply['state']})
        except errors.PeerError as error:
            if self._store.is_unavailable:
                return _answers.unavailable(str(error))
        try:
            state = await self._job_rows.read_state(job_id)
        except errors.StoreError as error:
            return _answers.unavailable(str(error))
        if state is None:
            return Answer(Verdict.NO_JOB)
        return Answer(Verdict.OK, {'state': state})

    async def cancel(self, call: Call) -> Answer:
        """Cancel a job; answer once the cancellation is stored."""
        deadline = _answer_deadline(call, time.monotonic())

        async def answer_job(route: ports.Route, job_id: str) -> Answer:
            return await self._cancel_job(job_id, deadline)

        return await self._answer_about_job('cancel', call, answer_job)

    async def _cancel_job(self, job_id: str, deadline: float) -> Answer:
        try:
            reply = await self._call_owner(
                'cancel', {'job': job_id}, _remaining_s(deadline)
            )
            if reply['written'] == STORED:
                return Answer(Verdict.OK)
        except errors.PeerError as error:
            if self._store.is_unavailable:
                return _answers.unavailable(str(error))
        outcome, reason = await self._job_rows.cancel(job_id, deadline)
        if outcome is _jobrows.CancelOutcome.CANCELLED:
            self._notify_owner('cancelled', {'job': job_id}, job_id)
        return Answer(VERDICT_BY_CANCEL_OUTCOME[outcome], reason=reason)

    def _record_answer(
        self,
        operation: str,
        call: Call,
        started_at: float,
        answer: Answer,
        team: str = '',
    ) -> Answer:
        self._metrics.observe_call(operation, answer.verdict.value, started_at)
        is_logged = operation != 'state' or answer.verdict is not Verdict.OK
        if is_logged:
            self._log_decision(
                f'{operation}_answered',
                path=call.path[:MAX_LOGGED_CHARS],
                verdict=answer.verdict.value,
                reason=answer.reason,
                team=team,
                took_ms=round((time.monotonic() - started_at) * 1000),
                config=self.configuration and self.configuration.version,
            )
        return answer
