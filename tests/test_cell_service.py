"""Answers to clients while the owner or the store fails."""

from typing import Any

from tests import cells
from tests import virtualtime

from celeryshift_cellnode import _metrics
from celeryshift_cellnode import errors
from celeryshift_cellnode import ports
from celeryshift_cellnode import service

ROUTE = ports.Route('host', '/field/', 'field', True)
BUDGET_S = 1.5


class Store:
    """Store that counts writes, and is slow or unavailable as required."""

    def __init__(self, is_slow: bool, is_unavailable: bool = False) -> None:
        self.is_slow = is_slow
        self.is_unavailable = is_unavailable
        self.writes = 0

    async def transact(self, *_: Any) -> ports.Committed:
        """Accept any transaction."""
        self.writes += 1
        return ports.Committed(7)


class OwnerClient:
    """Client whose first calls fail, though the owner may get them."""

    def __init__(self, error: errors.PeerError, failures: int) -> None:
        self._error = error
        self._failures = failures

    async def call(self, name: str, body: Any, timeout_s: float) -> Any:
        """Raise the error for the first calls, then answer."""
        self._failures -= 1
        if self._failures >= 0:
            raise self._error
        return {'is_owner': True, 'written': 'exists'}


def _submit(
    is_slow: bool,
    error: errors.PeerError,
    is_unavailable: bool = False,
    failures: int = 1000,
):
    store = Store(is_slow, is_unavailable)

    async def work() -> service.Answer:
        calls = service.Service(
            store,  # type: ignore[arg-type]
            OwnerClient(error, failures),  # type: ignore[arg-type]
            lambda *_, **__: None,
            _metrics.Metrics(),
            ports.StoreLimits().row_bytes,
        )
        calls.configure(ports.Configuration(cells.config(), (ROUTE,)))
        call = service.Call('host', '/field/' + 'a' * 16, None, BUDGET_S)
        return await calls.submit(call, lambda *_: cells.job('a'))

    return virtualtime.run(work()), store


def test_a_job_is_stored_past_an_owner_that_is_gone():
    answer, store = _submit(False, errors.PeerRefusedError('refused'))
    assert answer.verdict is service.Verdict.OK
    assert store.writes == 1


def test_a_job_in_doubt_is_settled_by_storing_it():
    answer, store = _submit(False, errors.PeerError('no answer'))
    assert answer.verdict is service.Verdict.OK
    assert store.writes == 1


def test_nobody_writes_past_a_missing_owner_to_a_slow_store():
    # When thirty nodes wrote to a slow store, they filled its queue, and no
    # owner could be elected for almost three seconds.
    answer, store = _submit(True, errors.PeerRefusedError('refused'))
    assert answer.verdict is service.Verdict.UNAVAILABLE
    assert answer.retry_after_s
    assert not store.writes


def test_a_job_in_doubt_is_never_told_as_refused():
    answer, store = _submit(True, errors.PeerError('no answer'))
    assert answer.verdict is service.Verdict.UNKNOWN
    assert not store.writes


def test_the_next_owner_settles_what_a_node_without_the_store_cannot():
    # An owner that was cut off from the store accepted jobs and answered 504
    # at the end of their timeouts, though the next owner was available after
    # one second.
    error = errors.PeerError('no answer')
    answer, store = _submit(False, error, is_unavailable=True, failures=3)
    assert answer.verdict is service.Verdict.OK
    assert not store.writes


def test_a_job_is_refused_at_once_with_neither_store_nor_owner():
    error = errors.PeerRefusedError('refused')
    answer, store = _submit(False, error, is_unavailable=True)
    assert answer.verdict is service.Verdict.UNAVAILABLE
    assert not store.writes
