"""Upstreams and workers that leave: what waits for them goes elsewhere."""

from collections.abc import Callable

from celeryshift_core import _config
from celeryshift_core import _state
from celeryshift_core import _tasks
from celeryshift_core import _timers


def config_changed(state: _state.State, before: _config.Config) -> None:
    """Refuse the requests that wait for an upstream that now leaves."""
    left = {
        upstream
        for upstream in before.upstreams
        if before.takes_work(upstream)
        and not state.config.takes_work(upstream)
    }
    if left:
        _route_anew(state, lambda task: task.upstream in left)


def reroute(state: _state.State, slice_: _state.Slice) -> None:
    """Route requests anew that wait where every worker is leaving."""
    if slice_.queue.length:
        staying = slice_.ledger.upstreams
        _route_anew(
            state,
            lambda task: task.upstream not in staying,
            slice_.number,
        )


def released(state: _state.State, slice_: _state.Slice) -> None:
    """Route requests anew that wait on a slice that is handed over."""
    _route_anew(state, lambda task: True, slice_.number)


def _route_anew(
    state: _state.State,
    concerns: Callable[[_tasks.Task], bool],
    number: int | None = None,
) -> None:
    for request in state.requests_by_id.values():
        task = request.task
        if task is None or task.state is not _tasks.TaskState.QUEUED:
            continue
        if number in (None, request.slice) and concerns(task):
            # Its timer routes it anew, or refuses it with the reason.
            state.timers.set(_timers.RequestDue(request.id), state.now)
