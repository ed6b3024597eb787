"""Authentication of callers, operators and peers."""

import hashlib
import hmac

from aiohttp import web

import celeryshift_core as core
from celeryshift_core import events
from celeryshift_node import _bodies

Reason = core.Reason


def authenticate_operator(
    request: web.Request, digests_by_operator: dict[str, str]
) -> str:
    """Return the name of the operator who makes a call.

    Raises RefusedError if the token is not an operator's.
    """
    digest = hashlib.sha256(_bearer_token(request).encode()).hexdigest()
    operator = None
    for name, expected in digests_by_operator.items():
        if hmac.compare_digest(digest, expected):
            operator = name
    if operator is None:
        raise _bodies.refusal_error(Reason.NOT_OPERATOR)
    return operator


def authenticate_peer(request: web.Request, cluster_token: str) -> None:
    """Raise RefusedError unless a node of this cluster makes the call.

    The reason is NOT_OPERATOR, as for operators.
    """
    token = _bearer_token(request).encode()
    if not hmac.compare_digest(token, cluster_token.encode()):
        raise _bodies.refusal_error(Reason.NOT_OPERATOR)


def parse_credentials(request: web.Request, queue: str) -> events.Credentials:
    """Return the credentials that a caller presents for a queue."""
    key_id, _, secret = _bearer_token(request).partition('.')
    return events.Credentials(queue, key_id, secret)


def _bearer_token(request: web.Request) -> str:
    scheme, _, token = request.headers.get('Authorization', '').partition(' ')
    # Non-ASCII bytes are decoded as surrogates, which no token contains.
    is_token = scheme.lower() == 'bearer' and token.isascii()
    return token if is_token else ''
