"""The HTTP interface: callers, operators and peers."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import hashlib
import hmac
import json
import re
from typing import Any
import uuid

from aiohttp import web
import attrs

import celeryshift_core as core
from celeryshift_core import events
from celeryshift_node import _problems
from celeryshift_node import _runner
from celeryshift_node import _settings
from celeryshift_node import _wire

NAME = re.compile(r'[A-Za-z0-9._-]{1,128}')
Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]
Reason = core.Reason


@attrs.frozen
class RequestBody:
    """Describe what a caller sends to run a request."""

    kind: str
    queue: str
    id: str | None = None
    timeout_s: float | None = None
    payload: Any = None


@attrs.frozen
class JobBody:
    """Describe what a caller sends to submit a job."""

    kind: str
    queue: str
    id: str | None = None
    tasks: int = 1
    size: core.Size | None = None
    payload: Any = None


@attrs.frozen
class ConfigBody:
    """Describe what an operator sends to hand in a configuration."""

    base_version: int
    configuration: dict[str, Any]


class RefusedError(core.CeleryshiftError):
    """Carry a refusal out of a handler."""

    def __init__(self, refusal: core.Refusal) -> None:
        self.refusal = refusal
        super().__init__(refusal.reason.value)


class Api:
    """Serve the HTTP interface of a node."""

    runner: _runner.Runner

    def __init__(self, settings: _settings.Settings) -> None:
        self._settings = settings
        self._bounds = settings.bounds

    def app(self) -> web.Application:
        """Build the application."""
        app = web.Application(
            client_max_size=self._bounds.max_body_bytes,
            middlewares=[self._answer_problems],
        )
        router = app.router
        router.add_post('/v1/requests', self._request)
        router.add_post('/v1/jobs', self._submit)
        router.add_get('/v1/jobs/{job}', self._job_act('show'))
        router.add_get('/v1/jobs/{job}/explain', self._job_act('explain'))
        router.add_delete('/v1/jobs/{job}', self._job_act('cancel'))
        router.add_get('/healthz', self._health)
        router.add_get('/readyz', self._ready)
        router.add_get('/operator/v1/config', self._show_config)
        router.add_put('/operator/v1/config', self._hand_in)
        router.add_delete('/operator/v1/keys/{key}', self._withdraw_key)
        router.add_get('/operator/v1/node', self._node)
        router.add_post('/operator/v1/drain', self._drain)
        router.add_post('/peer/v1/messages', self._peer_message)
        router.add_post('/peer/v1/requests', self._peer_request)
        router.add_post('/peer/v1/jobs', self._peer_job)
        router.add_post('/peer/v1/job-acts', self._peer_job_act)
        return app

    @web.middleware
    async def _answer_problems(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        try:
            response = await handler(request)
        except RefusedError as error:
            response = _problems.response(error.refusal)
        except core.DocumentError as error:
            refusal = core.Refusal(
                Reason.BAD_REQUEST, detail='; '.join(error.mistakes)
            )
            response = _problems.response(refusal)
        except web.HTTPRequestEntityTooLarge:
            detail = f'a body has {self._bounds.max_body_bytes} bytes at most'
            refusal = core.Refusal(Reason.TOO_LARGE, detail=detail)
            response = _problems.response(refusal)
        except web.HTTPException:
            raise
        except Exception:
            _runner.log.exception('handler failed')
            refusal = core.Refusal(Reason.INTERNAL, core.Ran.UNKNOWN)
            response = _problems.response(refusal)
        if self.runner.state.phase.value != 'serving':
            response.force_close()
        return response

    async def _request(self, request: web.Request) -> web.Response:
        body = await self._body(request, RequestBody)
        name = _name(body.id)
        credentials = _credentials(request, body.queue)
        answer = await self.runner.request(
            lambda request_id: events.RequestArrived(
                self.runner.now,
                request_id,
                name,
                body.kind,
                credentials,
                timeout_s=body.timeout_s,
            ),
            body.payload,
        )
        return _json({'id': name, **_document(answer)})

    async def _submit(self, request: web.Request) -> web.Response:
        body = await self._body(request, JobBody)
        spec = events.JobSpec(
            _name(body.id),
            '',
            body.kind,
            body.tasks,
            body.payload,
            body.size,
        )
        credentials = _credentials(request, body.queue)
        reply = await self.runner.ask(
            lambda reply_id: events.JobSubmitted(
                self.runner.now, reply_id, spec, credentials
            )
        )
        return _json(_document(reply), status=201)

    def _job_act(self, name: str) -> Handler:
        act = events.JobAct(name)

        async def handle(request: web.Request) -> web.Response:
            queue = request.query.get('queue', '')
            credentials = _credentials(request, queue)
            job = _name(request.match_info['job'])
            reply = await self.runner.ask(
                lambda reply_id: events.JobAsked(
                    self.runner.now, reply_id, job, act, credentials
                )
            )
            return _json(_document(reply))

        return handle

    async def _health(self, request: web.Request) -> web.Response:
        return _json({'phase': self.runner.state.phase.value})

    async def _ready(self, request: web.Request) -> web.Response:
        state = self.runner.state
        ready = state.phase.value == 'serving' and state.config.version > 0
        body = {'phase': state.phase.value, 'ready': ready}
        return _json(body, status=200 if ready else 503)

    async def _show_config(self, request: web.Request) -> web.Response:
        self._operator(request)
        state = self.runner.state
        versions = {
            peer.id: peer.config_version
            for peer in state.membership.peers_by_id.values()
        }
        versions[state.node] = state.config.version
        return _json(
            {
                'version': state.config.version,
                'configuration': core.unstructure(state.config),
                'version_by_node': versions,
            }
        )

    async def _hand_in(self, request: web.Request) -> web.Response:
        operator = self._operator(request)
        body = await self._body(request, ConfigBody)
        reply = await self.runner.ask(
            lambda reply_id: events.ConfigHandedIn(
                self.runner.now,
                reply_id,
                body.base_version,
                body.configuration,
                operator,
                _runner.wall_time(),
            )
        )
        return _json(_document(reply))

    async def _withdraw_key(self, request: web.Request) -> web.Response:
        operator = self._operator(request)
        key_id = _name(request.match_info['key'])
        reply = await self.runner.ask(
            lambda reply_id: events.KeyWithdrawn(
                self.runner.now,
                reply_id,
                key_id,
                operator,
                _runner.wall_time(),
            )
        )
        return _json(_document(reply))

    async def _node(self, request: web.Request) -> web.Response:
        self._operator(request)
        state = self.runner.state
        return _json(
            {
                'node': state.node,
                'phase': state.phase.value,
                'slices': {
                    number: held.phase.value
                    for number, held in state.slices_by_number.items()
                },
                'config_version': state.config.version,
                'peers': sorted(state.membership.peers_by_id),
                'counters': dict(state.counters),
            }
        )

    async def _drain(self, request: web.Request) -> web.Response:
        self._operator(request)
        self.runner.handle(events.DrainRequested(self.runner.now))
        return _json({'phase': self.runner.state.phase.value})

    async def _peer_message(self, request: web.Request) -> web.Response:
        self._peer(request)
        document = await self._json_body(request)
        message = _wire.read_message(document)
        self.runner.handle(
            events.PeerMessageArrived(
                self.runner.now, document['sender'], message
            )
        )
        return _json({})

    async def _peer_request(self, request: web.Request) -> web.Response:
        self._peer(request)
        body = await self._json_body(request)
        answer = await self.runner.request(
            lambda request_id: events.RequestArrived(
                self.runner.now,
                request_id,
                body['name'],
                body['kind'],
                None,
                body['team'],
                body['timeout_s'],
                body['hops'],
            ),
            body['payload'],
        )
        return _json(_document(answer))

    async def _peer_job(self, request: web.Request) -> web.Response:
        self._peer(request)
        body = await self._json_body(request)
        spec = core.structure(body['spec'], events.JobSpec)
        reply = await self.runner.ask(
            lambda reply_id: events.JobSubmitted(
                self.runner.now, reply_id, spec, None, body['hops']
            )
        )
        return _json(_document(reply))

    async def _peer_job_act(self, request: web.Request) -> web.Response:
        self._peer(request)
        body = await self._json_body(request)
        reply = await self.runner.ask(
            lambda reply_id: events.JobAsked(
                self.runner.now,
                reply_id,
                body['job'],
                events.JobAct(body['act']),
                None,
                body['team'],
                body['hops'],
            )
        )
        return _json(_document(reply))

    async def _body(self, request: web.Request, kind: type) -> Any:
        return core.structure(await self._json_body(request), kind)

    async def _json_body(self, request: web.Request) -> Any:
        try:
            async with asyncio.timeout(self._bounds.read_timeout_s):
                raw = await request.read()
            return json.loads(raw)
        except TimeoutError as error:
            detail = 'the body did not arrive in time'
            raise RefusedError(
                core.Refusal(Reason.BAD_REQUEST, detail=detail)
            ) from error
        except ValueError as error:
            detail = f'the body is not JSON: {error}'
            raise RefusedError(
                core.Refusal(Reason.BAD_REQUEST, detail=detail)
            ) from error

    def _operator(self, request: web.Request) -> str:
        given = hashlib.sha256(_bearer(request).encode()).hexdigest()
        name = None
        for operator, digest in self._settings.operators.items():
            if hmac.compare_digest(given, digest):
                name = operator
        if name is None:
            raise RefusedError(core.Refusal(Reason.NOT_OPERATOR))
        return name

    def _peer(self, request: web.Request) -> None:
        given = _bearer(request).encode()
        expected = self._settings.cluster_token.encode()
        if not hmac.compare_digest(given, expected):
            raise RefusedError(core.Refusal(Reason.NOT_OPERATOR))


def _bearer(request: web.Request) -> str:
    scheme, _, token = request.headers.get('Authorization', '').partition(' ')
    return token if scheme.lower() == 'bearer' else ''


def _credentials(request: web.Request, queue: str) -> events.Credentials:
    key_id, _, secret = _bearer(request).partition('.')
    return events.Credentials(queue, key_id, secret)


def _name(given: str | None) -> str:
    if given is None:
        return uuid.uuid4().hex
    if not NAME.fullmatch(given):
        detail = f'{given[:130]!r} is not a name: {NAME.pattern}'
        raise RefusedError(core.Refusal(Reason.BAD_REQUEST, detail=detail))
    return given


def _document(reply: Any) -> dict:
    if isinstance(reply, core.Refusal):
        raise RefusedError(reply)
    return reply


def _json(document: Any, status: int = 200) -> web.Response:
    return web.Response(
        text=json.dumps(document),
        status=status,
        content_type='application/json',
    )
