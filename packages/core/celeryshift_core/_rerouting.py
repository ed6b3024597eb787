"""Rerouting of requests that wait where they can no longer run."""

from collections.abc import Callable

from celeryshift_core import _config
from celeryshift_core import _state
from celeryshift_core import _tasks
from celeryshift_core import _timers


def handle_config_changed(state: _state.State, before: _config.Config) -> None:
    """Refuse the requests that wait for upstreams which now leave."""
    leaving = {
        upstream
        for upstream in before.upstreams
        if before.takes_work(upstream)
        and not state.config.takes_work(upstream)
    }
    if leaving:
        _reroute_queued(state, lambda task: task.upstream in leaving)


def reroute(state: _state.State, slice_: _state.Slice) -> None:
    """Reroute requests whose upstream has no live worker on a slice."""
    if slice_.queue.length:
        live = slice_.ledger.upstreams
        _reroute_queued(
            state,
            lambda task: task.upstream not in live,
            slice_.number,
        )


def reroute_all(state: _state.State, slice_: _state.Slice) -> None:
    """Reroute the requests queued on a slice that is handed over."""
    _reroute_queued(state, lambda task: True, slice_.number)


def _reroute_queued(
    state: _state.State,
    is_affected: Callable[[_tasks.Task], bool],
    number: int | None = None,
) -> None:
    for request in state.requests_by_id.values():
        task = request.task
        if task is None or task.state is not _tasks.TaskState.QUEUED:
            continue
        if number in (None, request.slice) and is_affected(task):
            # The timer routes the request again or refuses it with a reason.
            state.timers.set(_timers.RequestDue(request.id), state.now)
