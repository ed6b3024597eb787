"""HTTP interface for callers, operators and peers."""

from collections.abc import Awaitable
from collections.abc import Callable
import json
from typing import Any

from aiohttp import web

import celeryshift_core as core
from celeryshift_core import events
from celeryshift_net import servers
from celeryshift_node import _auth
from celeryshift_node import _bodies
from celeryshift_node import _problems
from celeryshift_node import _runner
from celeryshift_node import _settings
from celeryshift_node import _wire

MAX_ENVELOPE_BYTES = 65_536
AUDIT_PAGE_SIZE = 20
# Refusals that are sent before the whole body of the request is read.
UNREAD_BODY_REASONS = frozenset(
    (
        core.Reason.SLOW_CALLER,
        core.Reason.TOO_LARGE,
        core.Reason.TOO_MANY_BODIES,
    )
)
# Key of the body of a request.
BODY = web.RequestKey('body', servers.Body)

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]
Reason = core.Reason


class Api:
    """HTTP interface of a node."""

    runner: _runner.Runner

    def __init__(self, settings: _settings.Settings) -> None:
        self._settings = settings
        self._bounds = bounds = settings.bounds
        # Of the bodies of callers, whose keys are checked later.
        self._budget = servers.BodyBudget(
            servers.budget_bytes(
                bounds.max_bodies_bytes, bounds.max_body_bytes
            )
        )

    def app(self) -> web.Application:
        """Return the web application with all routes."""
        app = web.Application(
            middlewares=[self._convert_errors],
        )
        app.on_response_prepare.append(_remove_server_header)
        router = app.router
        router.add_post('/v1/requests', self._run_request)
        router.add_post('/v1/jobs', self._submit_job)
        router.add_get('/v1/requests/{request}/explain', self._explain_request)
        router.add_get('/v1/jobs/{job}', self._make_job_handler('show'))
        router.add_get(
            '/v1/jobs/{job}/explain', self._make_job_handler('explain')
        )
        router.add_delete('/v1/jobs/{job}', self._make_job_handler('cancel'))
        router.add_get('/healthz', self._show_health)
        router.add_get('/readyz', self._show_readiness)
        router.add_get('/operator/v1/config', self._show_config)
        router.add_put('/operator/v1/config', self._submit_config)
        router.add_get('/operator/v1/audit', self._list_audit_records)
        router.add_get('/operator/v1/keys', self._list_keys)
        router.add_delete('/operator/v1/keys/{key}', self._withdraw_key)
        router.add_get('/operator/v1/node', self._show_node)
        router.add_post('/operator/v1/drain', self._drain_node)
        router.add_post('/peer/v1/messages', self._handle_peer_message)
        router.add_post('/peer/v1/requests', self._handle_peer_request)
        router.add_post('/peer/v1/jobs', self._handle_peer_job)
        router.add_post('/peer/v1/job-acts', self._handle_peer_job_act)
        return app

    @web.middleware
    async def _convert_errors(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        try:
            with servers.Body(request, self._budget) as body:
                request[BODY] = body
                # The body stays in memory until the call is answered.
                response = await handler(request)
        except _bodies.RefusedError as error:
            response = self._refusal_response(error.refusal)
            # The rest of the body is not read, so close the connection.
            if error.refusal.reason in UNREAD_BODY_REASONS:
                response.force_close()
        except core.DocumentError as error:
            detail = '; '.join(error.mistakes)
            refusal = core.Refusal(Reason.BAD_REQUEST, detail=detail)
            response = self._refusal_response(refusal)
        except web.HTTPException as error:
            detail = f'{request.method} {request.path[:200]}'
            refusal = core.Refusal(Reason.UNKNOWN_PATH, detail=detail)
            response = self._refusal_response(refusal)
            response.set_status(error.status)
        except Exception:
            _runner.log.exception('handler failed')
            refusal = core.Refusal(Reason.INTERNAL, core.Ran.UNKNOWN)
            response = self._refusal_response(refusal)
        if self.runner.state.phase.value != 'serving':
            # Makes clients connect again, to a node that is serving.
            response.force_close()
        return response

    async def _run_request(self, request: web.Request) -> web.Response:
        body = await self._read_body(request, _bodies.RequestBody)
        name = _bodies.validate_name(body.id)
        credentials = _auth.parse_credentials(request, body.queue)
        answer = await self.runner.run_request(
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
        return _json_response({'id': name, **_document_or_raise(answer)})

    async def _explain_request(self, request: web.Request) -> web.Response:
        queue = request.query.get('queue', '')
        credentials = _auth.parse_credentials(request, queue)
        name = _bodies.validate_name(request.match_info['request'])
        reply = await self.runner.get_reply(
            lambda reply_id: events.RequestQueried(
                self.runner.now, reply_id, name, credentials
            )
        )
        return _json_response(_document_or_raise(reply))

    async def _submit_job(self, request: web.Request) -> web.Response:
        body = await self._read_body(request, _bodies.JobBody)
        spec = events.JobSpec(
            _bodies.validate_name(body.id),
            '',
            body.kind,
            body.tasks,
            body.payload,
            body.size,
        )
        credentials = _auth.parse_credentials(request, body.queue)
        reply = await self.runner.get_reply(
            lambda reply_id: events.JobSubmitted(
                self.runner.now, reply_id, spec, credentials
            )
        )
        return _json_response(_document_or_raise(reply), status=201)

    def _make_job_handler(self, name: str) -> Handler:
        act = events.JobAct(name)

        async def handle(request: web.Request) -> web.Response:
            queue = request.query.get('queue', '')
            credentials = _auth.parse_credentials(request, queue)
            job = _bodies.validate_name(request.match_info['job'])
            reply = await self.runner.get_reply(
                lambda reply_id: events.JobActRequested(
                    self.runner.now, reply_id, job, act, credentials
                )
            )
            return _json_response(_document_or_raise(reply))

        return handle

    async def _show_health(self, request: web.Request) -> web.Response:
        return _json_response({'phase': self.runner.state.phase.value})

    async def _show_readiness(self, request: web.Request) -> web.Response:
        state = self.runner.state
        ready = state.phase.value == 'serving' and state.config.version > 0
        body = {'phase': state.phase.value, 'ready': ready}
        return _json_response(body, status=200 if ready else 503)

    async def _show_config(self, request: web.Request) -> web.Response:
        self._authenticate_operator(request)
        state = self.runner.state
        versions = {
            peer.id: peer.config_version
            for peer in state.membership.peers_by_id.values()
        }
        versions[state.node] = current = state.config.version
        return _json_response(
            {
                'version': current,
                'configuration': core.unstructure(state.config),
                'in_force_on': sorted(
                    node
                    for node, version in versions.items()
                    if version >= current
                ),
                'not_in_force_on': {
                    node: version
                    for node, version in versions.items()
                    if version < current
                },
            }
        )

    async def _submit_config(self, request: web.Request) -> web.Response:
        operator = self._authenticate_operator(request)
        bounds = self._bounds
        # Operators and peers are authenticated before their bodies are read.
        document, _ = await _bodies.read_json(
            servers.Body(request, servers.BodyBudget()),
            bounds.max_config_bytes,
            bounds.read_timeout_s,
        )
        body = _bodies.validate(document, _bodies.ConfigBody)
        reply = await self.runner.get_reply(
            lambda reply_id: events.ConfigSubmitted(
                self.runner.now,
                reply_id,
                body.base_version,
                body.configuration,
                operator,
                _runner.wall_time(),
            )
        )
        return _json_response(_document_or_raise(reply))

    async def _list_audit_records(self, request: web.Request) -> web.Response:
        self._authenticate_operator(request)
        before = _bodies.parse_positive_number(request, 'before')
        limit = (
            _bodies.parse_positive_number(request, 'limit') or AUDIT_PAGE_SIZE
        )
        reply = await self.runner.get_reply(
            lambda reply_id: events.AuditRequested(
                self.runner.now, reply_id, before, limit
            )
        )
        return _json_response(_document_or_raise(reply))

    async def _list_keys(self, request: web.Request) -> web.Response:
        self._authenticate_operator(request)
        state = self.runner.state
        keys = {
            key_id: {
                'team': key.team,
                'withdrawn': key_id in state.withdrawn_keys,
            }
            for key_id, key in sorted(state.config.keys.items())
        }
        return _json_response({'version': state.config.version, 'keys': keys})

    async def _withdraw_key(self, request: web.Request) -> web.Response:
        operator = self._authenticate_operator(request)
        key_id = _bodies.validate_name(request.match_info['key'])
        reply = await self.runner.get_reply(
            lambda reply_id: events.KeyWithdrawn(
                self.runner.now,
                reply_id,
                key_id,
                operator,
                _runner.wall_time(),
            )
        )
        return _json_response(_document_or_raise(reply))

    async def _show_node(self, request: web.Request) -> web.Response:
        self._authenticate_operator(request)
        state = self.runner.state
        return _json_response(
            {
                'node': state.node,
                'phase': state.phase.value,
                'slices': {
                    number: slice_.phase.value
                    for number, slice_ in state.slices_by_number.items()
                },
                'config_version': state.config.version,
                'peers': sorted(state.membership.peers_by_id),
                'counters': dict(state.counters),
            }
        )

    async def _drain_node(self, request: web.Request) -> web.Response:
        self._authenticate_operator(request)
        self.runner.handle(events.DrainRequested(self.runner.now))
        return _json_response({'phase': self.runner.state.phase.value})

    async def _handle_peer_message(self, request: web.Request) -> web.Response:
        body = await self._read_peer_body(request, _bodies.PeerMessage)
        if body.type not in _wire.MESSAGES_BY_NAME:
            detail = f'unknown message {body.type[:80]!r}'
            raise _bodies.refusal_error(Reason.BAD_REQUEST, detail)
        message = _wire.decode_message({'type': body.type, 'body': body.body})
        self.runner.handle(
            events.PeerMessageArrived(self.runner.now, body.sender, message)
        )
        return _json_response({})

    async def _handle_peer_request(self, request: web.Request) -> web.Response:
        body = await self._read_peer_body(request, _bodies.PeerRequest)
        answer = await self.runner.run_request(
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
        return _json_response(_document_or_raise(answer))

    async def _handle_peer_job(self, request: web.Request) -> web.Response:
        body = await self._read_peer_body(request, _bodies.PeerJob)
        reply = await self.runner.get_reply(
            lambda reply_id: events.JobSubmitted(
                self.runner.now, reply_id, body.spec, None, body.hops
            )
        )
        return _json_response(_document_or_raise(reply))

    async def _handle_peer_job_act(self, request: web.Request) -> web.Response:
        body = await self._read_peer_body(request, _bodies.PeerJobAct)
        reply = await self.runner.get_reply(
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
        return _json_response(_document_or_raise(reply))

    async def _read_body(self, request: web.Request, kind: type) -> Any:
        return _bodies.validate(await self._read_json(request), kind)

    async def _read_json(self, request: web.Request) -> Any:
        bounds = self._bounds
        document, _ = await _bodies.read_json(
            request[BODY], bounds.max_body_bytes, bounds.read_timeout_s
        )
        return document

    async def _read_peer_body(self, request: web.Request, kind: type) -> Any:
        _auth.authenticate_peer(request, self._settings.cluster_token)
        bounds = self._bounds
        # A peer wraps the forwarded body in a document with more fields.
        max_bytes = bounds.max_body_bytes + MAX_ENVELOPE_BYTES
        document, length = await _bodies.read_json(
            servers.Body(request, servers.BodyBudget()),
            max_bytes,
            bounds.read_timeout_s,
        )
        counters = self.runner.counters
        counters['control.received'] += 1
        counters['control.received_bytes'] += length
        return _bodies.validate(document, kind)

    def _authenticate_operator(self, request: web.Request) -> str:
        return _auth.authenticate_operator(request, self._settings.operators)

    def _refusal_response(self, refusal: core.Refusal) -> web.Response:
        self.runner.counters[f'http.refused.{refusal.reason.value}'] += 1
        return _problems.make_response(refusal)


async def _remove_server_header(
    request: web.Request, response: web.StreamResponse
) -> None:
    """Remove the header that names the server program and its version."""
    response.headers.pop('Server', None)


def _document_or_raise(reply: Any) -> dict:
    if isinstance(reply, core.Refusal):
        raise _bodies.RefusedError(reply)
    return reply


def _json_response(document: Any, status: int = 200) -> web.Response:
    return web.Response(
        text=json.dumps(document),
        status=status,
        content_type='application/json',
    )
