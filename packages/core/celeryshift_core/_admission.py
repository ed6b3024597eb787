"""Admission: authentication of callers and checks of kind and size."""

import attrs

from celeryshift_core import _config
from celeryshift_core import _confirmation
from celeryshift_core import _refusals
from celeryshift_core import _size
from celeryshift_core import _state
from celeryshift_core import events

Reason = _refusals.Reason
Refusal = _refusals.Refusal


@attrs.frozen(slots=True)
class Admitted:
    """Team and kind of admitted work."""

    team: str
    kind: _config.Kind


def admit(
    state: _state.State,
    credentials: events.Credentials,
    kind_name: str,
    size: _size.Size | None,
) -> Admitted | Refusal:
    """Admit work for the team of its queue or key."""
    team = resolve_team(state, credentials)
    if isinstance(team, Refusal):
        return team
    kind = state.config.kinds.get(kind_name)
    if kind is None:
        return Refusal(Reason.UNKNOWN_KIND, detail=f'kind {kind_name!r}')
    refusal = check_kind(state, kind, size or kind.size)
    return refusal or Admitted(team, kind)


def admit_from_peer(
    state: _state.State, team: str, kind_name: str
) -> Admitted | Refusal:
    """Admit work that a peer has already admitted."""
    kind = state.config.kinds.get(kind_name)
    if kind is None:
        return Refusal(Reason.UNKNOWN_KIND, detail=f'kind {kind_name!r}')
    return Admitted(team, kind)


def resolve_team(
    state: _state.State, credentials: events.Credentials
) -> str | Refusal:
    """Return the team that a caller acts for."""
    if not state.config.version:
        retry_s = state.options.retry_after_s
        return Refusal(Reason.NOT_READY, retry_after_s=retry_s)
    queue = state.config.queues.get(credentials.queue)
    if queue is None:
        detail = f'queue {credentials.queue!r}'
        return Refusal(Reason.UNKNOWN_QUEUE, detail=detail)
    if queue.access is _config.Access.OPEN and queue.team is not None:
        return queue.team
    return _authenticate_key(state, credentials)


def check_kind(
    state: _state.State, kind: _config.Kind, size: _size.Size
) -> Refusal | None:
    """Refuse work that no worker of the upstream could ever hold."""
    if not state.config.takes_work(kind.upstream):
        detail = f'upstream {kind.upstream!r} takes no new work'
        return Refusal(Reason.NO_UPSTREAM, detail=detail)
    capacities = state.fleet.capacities(kind.upstream)
    if not capacities:
        retry_s = state.options.retry_after_s
        detail = f'upstream {kind.upstream!r} has no workers'
        return Refusal(
            Reason.NO_UPSTREAM, retry_after_s=retry_s, detail=detail
        )
    if not any(size.fits(capacity) for capacity in capacities):
        detail = f'no worker of {kind.upstream!r} could hold {size}'
        return Refusal(Reason.NEVER_FITS, detail=detail)
    return None


def _authenticate_key(
    state: _state.State, credentials: events.Credentials
) -> str | Refusal:
    key_id = credentials.key_id
    if key_id in state.withdrawn_keys:
        return Refusal(Reason.WITHDRAWN_KEY)
    if _confirmation.is_stale(state):
        retry_s = state.options.retry_after_s
        return Refusal(Reason.KEYS_UNCONFIRMED, retry_after_s=retry_s)
    team = _config.team_of_key(state.config, key_id, credentials.secret)
    if team is None:
        return Refusal(Reason.WRONG_KEY)
    return team
