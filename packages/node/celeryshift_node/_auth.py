"""Who makes a call: a caller with a key, an operator, or a peer."""

import hashlib
import hmac

from aiohttp import web

import celeryshift_core as core
from celeryshift_core import events
from celeryshift_node import _bodies

Reason = core.Reason


def operator(request: web.Request, digests_by_operator: dict[str, str]) -> str:
    """Name the operator who makes a call.

    Raises RefusedError for anybody else.
    """
    given = hashlib.sha256(_bearer(request).encode()).hexdigest()
    found = None
    for name, digest in digests_by_operator.items():
        if hmac.compare_digest(given, digest):
            found = name
    if found is None:
        raise _bodies.refused(Reason.NOT_OPERATOR)
    return found


def check_peer(request: web.Request, cluster_token: str) -> None:
    """Let only a node of this cluster pass.

    Raises RefusedError for anybody else.
    """
    given = _bearer(request).encode()
    if not hmac.compare_digest(given, cluster_token.encode()):
        raise _bodies.refused(Reason.NOT_OPERATOR)


def credentials(request: web.Request, queue: str) -> events.Credentials:
    """Give what a caller shows for a queue."""
    key_id, _, secret = _bearer(request).partition('.')
    return events.Credentials(queue, key_id, secret)


def _bearer(request: web.Request) -> str:
    scheme, _, token = request.headers.get('Authorization', '').partition(' ')
    # Other bytes arrive as surrogates, which no token holds.
    is_token = scheme.lower() == 'bearer' and token.isascii()
    return token if is_token else ''
