"""Problem documents for refused calls.

Source: RFC 9457, Problem Details for HTTP APIs.
"""

import json
import math

from aiohttp import web

import celeryshift_core as core

TYPE_PREFIX = 'urn:celeryshift:problem:'
CONTENT_TYPE = 'application/problem+json'

Reason = core.Reason

STATUS_BY_REASON = {
    Reason.BAD_REQUEST: 400,
    Reason.UNKNOWN_KIND: 404,
    Reason.UNKNOWN_QUEUE: 404,
    Reason.UNKNOWN_JOB: 404,
    Reason.WITHDRAWN_JOB: 409,
    Reason.UNKNOWN_REQUEST: 404,
    Reason.UNKNOWN_PATH: 404,
    Reason.WRONG_KEY: 401,
    Reason.WITHDRAWN_KEY: 401,
    Reason.NOT_OPERATOR: 403,
    Reason.NEVER_FITS: 422,
    Reason.NO_UPSTREAM: 503,
    Reason.NO_ROOM: 503,
    Reason.TEAM_LIMIT: 429,
    Reason.DEADLINE: 504,
    Reason.ALREADY_SENT: 409,
    Reason.DUPLICATE: 409,
    Reason.WORKER_LOST: 502,
    Reason.UPSTREAM_FAILED: 502,
    Reason.CONFIGURATION_CONFLICT: 409,
    Reason.TOO_LARGE: 413,
    Reason.SLOW_CALLER: 408,
    Reason.INTERNAL: 500,
}
DEFAULT_STATUS = 503


def make_response(refusal: core.Refusal) -> web.Response:
    """Return the HTTP response for a refusal."""
    status = STATUS_BY_REASON.get(refusal.reason, DEFAULT_STATUS)
    body = {
        'type': TYPE_PREFIX + refusal.reason.value,
        'title': refusal.reason.value.replace('-', ' '),
        'status': status,
        'detail': refusal.detail,
        'ran': refusal.ran.value,
    }
    headers = {}
    if refusal.retry_after_s is not None:
        body['retry_after_s'] = round(refusal.retry_after_s, 3)
        headers['Retry-After'] = str(math.ceil(refusal.retry_after_s))
    if status == 401:
        headers['WWW-Authenticate'] = 'Bearer'
    return web.Response(
        text=json.dumps(body),
        status=status,
        headers=headers,
        content_type=CONTENT_TYPE,
    )
