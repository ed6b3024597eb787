"""The HTTP interface: callers, operators and peers."""

from collections.abc import Awaitable
from collections.abc import Callable
import json
from typing import Any

from aiohttp import web

import celeryshift_core as core
from celeryshift_core import events
from celeryshift_node import _auth
from celeryshift_node import _bodies
from celeryshift_node import _listener
from celeryshift_node import _problems
from celeryshift_node import _runner
from celeryshift_node import _settings
from celeryshift_node import _tls
from celeryshift_node import _wire

WRAPPING_BYTES = 65_536
AUDIT_PAGE = 20
UNREAD = frozenset((core.Reason.SLOW_CALLER, core.Reason.TOO_LARGE))

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]
Reason = core.Reason


class Api:
    """Serve the HTTP interface of a node."""

    runner: _runner.Runner

    def __init__(self, settings: _settings.Settings) -> None:
        self._settings = settings
        self._bounds = settings.bounds
        handshake_s = _tls.HANDSHAKE_S if settings.tls else 0.0
        self.first_request_timeouts = _listener.FirstRequestTimeouts(
            settings.bounds.header_timeout_s + handshake_s
        )

    def app(self) -> web.Application:
        """Build the application."""
        app = web.Application(
            middlewares=[self._answer_problems],
        )
        app.on_response_prepare.append(_drop_server_name)
        router = app.router
        router.add_post('/v1/requests', self._request)
        router.add_post('/v1/jobs', self._submit)
        router.add_get('/v1/requests/{request}/explain', self._why_request)
        router.add_get('/v1/jobs/{job}', self._job_act('show'))
        router.add_get('/v1/jobs/{job}/explain', self._job_act('explain'))
        router.add_delete('/v1/jobs/{job}', self._job_act('cancel'))
        router.add_get('/healthz', self._health)
        router.add_get('/readyz', self._ready)
        router.add_get('/operator/v1/config', self._show_config)
        router.add_put('/operator/v1/config', self._hand_in)
        router.add_get('/operator/v1/audit', self._audit)
        router.add_get('/operator/v1/keys', self._list_keys)
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
        self.first_request_timeouts.seen(request.protocol)
        try:
            response = await handler(request)
        except _bodies.RefusedError as error:
            response = self._refuse(error.refusal)
            # The rest of such a body is not waited for.
            if error.refusal.reason in UNREAD:
                response.force_close()
        except core.DocumentError as error:
            detail = '; '.join(error.mistakes)
            refusal = core.Refusal(Reason.BAD_REQUEST, detail=detail)
            response = self._refuse(refusal)
        except web.HTTPException as error:
            detail = f'{request.method} {request.path[:200]}'
            refusal = core.Refusal(Reason.UNKNOWN_PATH, detail=detail)
            response = self._refuse(refusal)
            response.set_status(error.status)
        except Exception:
            _runner.log.exception('handler failed')
            refusal = core.Refusal(Reason.INTERNAL, core.Ran.UNKNOWN)
            response = self._refuse(refusal)
        if self.runner.state.phase.value != 'serving':
            response.force_close()
        return response

    async def _request(self, request: web.Request) -> web.Response:
        body = await self._body(request, _bodies.RequestBody)
        name = _bodies.name(body.id)
        credentials = _auth.credentials(request, body.queue)
        answer = await self.runner.request(
            lambda request_id: events.RequestArrived(
                self.runner.now,
                request_id,
                name,
                body.kind,
                credentials,
                timeout_s=body.timeout_s,
                named=body.id is not None,
            ),
            body.payload,
        )
        return _json({'id': name, **_document(answer)})

    async def _why_request(self, request: web.Request) -> web.Response:
        queue = request.query.get('queue', '')
        credentials = _auth.credentials(request, queue)
        name = _bodies.name(request.match_info['request'])
        reply = await self.runner.ask(
            lambda reply_id: events.RequestQueried(
                self.runner.now, reply_id, name, credentials
            )
        )
        return _json(_document(reply))

    async def _submit(self, request: web.Request) -> web.Response:
        body = await self._body(request, _bodies.JobBody)
        spec = events.JobSpec(
            _bodies.name(body.id),
            '',
            body.kind,
            body.tasks,
            body.payload,
            body.size,
        )
        credentials = _auth.credentials(request, body.queue)
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
            credentials = _auth.credentials(request, queue)
            job = _bodies.name(request.match_info['job'])
            reply = await self.runner.ask(
                lambda reply_id: events.JobActRequested(
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
        versions[state.node] = current = state.config.version
        return _json(
            {
                'version': current,
                'configuration': core.unstructure(state.config),
                'in_force_on': sorted(
                    node for node, at in versions.items() if at >= current
                ),
                'not_in_force_on': {
                    node: at for node, at in versions.items() if at < current
                },
            }
        )

    async def _hand_in(self, request: web.Request) -> web.Response:
        operator = self._operator(request)
        document = await self._json(request, self._bounds.max_config_bytes)
        body = _bodies.build(document, _bodies.ConfigBody)
        reply = await self.runner.ask(
            lambda reply_id: events.ConfigSubmitted(
                self.runner.now,
                reply_id,
                body.base_version,
                body.configuration,
                operator,
                _runner.wall_time(),
            )
        )
        return _json(_document(reply))

    async def _audit(self, request: web.Request) -> web.Response:
        self._operator(request)
        before = _bodies.number(request, 'before')
        limit = _bodies.number(request, 'limit') or AUDIT_PAGE
        reply = await self.runner.ask(
            lambda reply_id: events.AuditRequested(
                self.runner.now, reply_id, before, limit
            )
        )
        return _json(_document(reply))

    async def _list_keys(self, request: web.Request) -> web.Response:
        self._operator(request)
        state = self.runner.state
        keys = {
            key_id: {
                'team': key.team,
                'withdrawn': key_id in state.withdrawn_keys,
            }
            for key_id, key in sorted(state.config.keys.items())
        }
        return _json({'version': state.config.version, 'keys': keys})

    async def _withdraw_key(self, request: web.Request) -> web.Response:
        operator = self._operator(request)
        key_id = _bodies.name(request.match_info['key'])
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
        body = await self._peer_body(request, _bodies.PeerMessage)
        if body.type not in _wire.MESSAGES_BY_NAME:
            detail = f'unknown message {body.type[:80]!r}'
            raise _bodies.refused(Reason.BAD_REQUEST, detail)
        message = _wire.decode_message({'type': body.type, 'body': body.body})
        self.runner.handle(
            events.PeerMessageArrived(self.runner.now, body.sender, message)
        )
        return _json({})

    async def _peer_request(self, request: web.Request) -> web.Response:
        body = await self._peer_body(request, _bodies.PeerRequest)
        answer = await self.runner.request(
            lambda request_id: events.RequestArrived(
                self.runner.now,
                request_id,
                body.name,
                body.kind,
                None,
                body.team,
                body.timeout_s,
                body.hops,
            ),
            body.payload,
        )
        return _json(_document(answer))

    async def _peer_job(self, request: web.Request) -> web.Response:
        body = await self._peer_body(request, _bodies.PeerJob)
        reply = await self.runner.ask(
            lambda reply_id: events.JobSubmitted(
                self.runner.now, reply_id, body.spec, None, body.hops
            )
        )
        return _json(_document(reply))

    async def _peer_job_act(self, request: web.Request) -> web.Response:
        body = await self._peer_body(request, _bodies.PeerJobAct)
        reply = await self.runner.ask(
            lambda reply_id: events.JobActRequested(
                self.runner.now,
                reply_id,
                body.job,
                body.act,
                None,
                body.team,
                body.hops,
            )
        )
        return _json(_document(reply))

    async def _body(self, request: web.Request, kind: type) -> Any:
        return _bodies.build(await self._json(request), kind)

    async def _json(
        self, request: web.Request, max_bytes: int | None = None
    ) -> Any:
        bounds = self._bounds
        document, _ = await _bodies.read(
            request, max_bytes or bounds.max_body_bytes, bounds.read_timeout_s
        )
        return document

    async def _peer_body(self, request: web.Request, kind: type) -> Any:
        _auth.check_peer(request, self._settings.cluster_token)
        bounds = self._bounds
        # What a peer passes on is wrapped in a message of its own.
        most = bounds.max_body_bytes + WRAPPING_BYTES
        document, length = await _bodies.read(
            request, most, bounds.read_timeout_s
        )
        counters = self.runner.counters
        counters['control.received'] += 1
        counters['control.received_bytes'] += length
        return _bodies.build(document, kind)

    def _operator(self, request: web.Request) -> str:
        return _auth.operator(request, self._settings.operators)

    def _refuse(self, refusal: core.Refusal) -> web.Response:
        self.runner.counters[f'http.refused.{refusal.reason.value}'] += 1
        return _problems.response(refusal)


async def _drop_server_name(
    request: web.Request, response: web.StreamResponse
) -> None:
    """Leave out which program and version answers."""
    response.headers.pop('Server', None)


def _document(reply: Any) -> dict:
    if isinstance(reply, core.Refusal):
        raise _bodies.RefusedError(reply)
    return reply


def _json(document: Any, status: int = 200) -> web.Response:
    return web.Response(
        text=json.dumps(document),
        status=status,
        content_type='application/json',
    )
