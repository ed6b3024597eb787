"""The life of a slice at its owner: recovery, workers, release."""

import attrs

from celeryshift_core import _departures
from celeryshift_core import _gangs
from celeryshift_core import _ids
from celeryshift_core import _jobs
from celeryshift_core import _leaving
from celeryshift_core import _ledger
from celeryshift_core import _queue
from celeryshift_core import _shares
from celeryshift_core import _state
from celeryshift_core import _tasks
from celeryshift_core import _timers
from celeryshift_core import _workers
from celeryshift_core import effects
from celeryshift_core import events
from celeryshift_core import schema


@attrs.define(eq=False)
class _Load:
    """Give the load of a team on a slice, by which its queue ranks teams."""

    state: _state.State
    held: _state.Slice = attrs.field(init=False)

    def __call__(self, team: str) -> float:
        return _shares.load(self.state, self.held, team)


def recover(
    state: _state.State,
    number: int,
    epoch: int,
    row: schema.Row,
    job_rows: dict[str, schema.Row],
    out: _state.Out,
) -> None:
    """Begin to own a slice: read its jobs, ask its workers what they run.

    No task of an earlier owner starts again until each worker has said what
    it runs, or the leases that the earlier owner gave have surely ended.
    """
    load = _Load(state)
    held = _state.Slice(
        number,
        epoch,
        row.version,
        _queue.Queue(load),
        row.value['vm_revision'],
        row.version,
    )
    load.held = held
    state.slices_by_number[number] = held
    out.append(_change('slice-taken', held))
    for row in job_rows.values():
        _jobs.restore(state, held, row)
    key = _timers.RecoveryEnds(number, epoch)
    state.timers.set(key, state.now + state.options.tasks_end_s)
    for vm in state.vms_by_name.values():
        _take_in(state, held, vm, out)
    out.append(effects.FetchVms(state.vm_revision))
    check_accounted(state, held, out)


def check_accounted(
    state: _state.State, held: _state.Slice, out: _state.Out
) -> None:
    """Open a slice once every worker has said what it runs."""
    if held.phase is not _state.SlicePhase.RECOVERING:
        return
    # The former owner may have known workers that this node does not yet.
    if state.vm_revision < max(1, held.vm_revision):
        return
    workers = held.ledger.workers_by_name.values()
    if all(worker.answered for worker in workers):
        open_slice(state, held, out)


def open_slice(
    state: _state.State, held: _state.Slice, out: _state.Out
) -> None:
    """Queue the tasks that no worker runs."""
    if held.phase is not _state.SlicePhase.RECOVERING:
        return
    state.timers.cancel(_timers.RecoveryEnds(held.number, held.epoch))
    held.phase = _state.SlicePhase.READY
    for task_id in sorted(held.unaccounted):
        task = held.tasks_by_id.get(task_id)
        if task and task.state is _tasks.TaskState.UNACCOUNTED:
            task.note(state.now, 'queued', 'no worker runs it')
            _jobs.resume(state, held, task, out)
    held.unaccounted.clear()
    out.append(_change('slice-ready', held))
    state.touched[held.number] = None


def drop(state: _state.State, number: int, out: _state.Out) -> None:
    """Forget a slice: it was released, or another node took it."""
    held = state.slices_by_number.pop(number)
    out.append(_change('slice-dropped', held))
    for request in _queued_in(state, number):
        request.park()


def begin_release(state: _state.State, number: int, out: _state.Out) -> None:
    """Place nothing more on a slice, so that it can be handed over."""
    held = state.slices_by_number[number]
    if held.phase is not _state.SlicePhase.RELEASING:
        held.phase = _state.SlicePhase.RELEASING
        _leaving.released(state, held)
        _gangs.release_all(state, held)
        out.append(_change('slice-releasing', held))


def _queued_in(state: _state.State, number: int) -> list[_state.Request]:
    """List the requests that wait in a slice, to be routed anew at once."""
    queued = [
        request
        for request in state.requests_by_id.values()
        if request.slice == number
        and request.task is not None
        and request.task.state is _tasks.TaskState.QUEUED
    ]
    for request in queued:
        state.timers.set(_timers.RequestDue(request.id), state.now)
    return queued


def is_quiet(state: _state.State, held: _state.Slice) -> bool:
    """Tell whether a slice being released has nothing outstanding."""
    return (
        held.phase is _state.SlicePhase.RELEASING
        and not held.unconfirmed
        and not held.writing_jobs
        and not held.dirty_jobs
        and not any(
            request.slice == held.number
            for request in state.requests_by_id.values()
        )
    )


def wake(state: _state.State, out: _state.Out) -> None:
    """Go on with every slice after the lease was renewed."""
    for held in state.slices_by_number.values():
        for worker in held.ledger.workers_by_name.values():
            if not worker.syncing and worker.silent_since is None:
                _workers.sync(state, held, worker, out)
        state.touched[held.number] = None


def use_listed(state: _state.State) -> None:
    """Use the workers that this node's registration says it knows.

    Whoever takes the slice next waits until it knows them too.
    """
    if state.membership.vm_revision < state.vm_revision:
        return
    unlisted, state.unlisted = state.unlisted, []
    for held, worker in unlisted:
        worker.listed = True
        if worker.name in held.ledger.workers_by_name:
            held.ledger.refresh(worker)
            state.touched[held.number] = None


def vms_fetched(
    state: _state.State, event: events.VmsFetched, out: _state.Out
) -> None:
    """Take in what changed in the VM list."""
    if event.vms is None:
        return
    state.vm_revision = max(state.vm_revision, event.revision)
    for vm in event.vms:
        _departures.note_vm(state, vm)
        _list(state, vm)
        for held in state.slices_by_number.values():
            _take_in(state, held, vm, out)
    for held in list(state.slices_by_number.values()):
        check_accounted(state, held, out)
        if event.vms:
            _leaving.reroute(state, held)


def _list(state: _state.State, vm: events.Vm) -> None:
    slices = state.options.slices
    before = state.vms_by_name.pop(vm.name, None)
    if before is not None and before.state is events.VmState.LIVE:
        state.fleet.remove(before, slices)
    if vm.state is not events.VmState.GONE:
        state.vms_by_name[vm.name] = vm
    if vm.state is events.VmState.LIVE:
        # What leaves takes no new work, so that it counts for nothing.
        state.fleet.add(vm, slices)


def _take_in(
    state: _state.State,
    held: _state.Slice,
    vm: events.Vm,
    out: _state.Out,
) -> None:
    """Bring the ledger into line with one entry of the VM list."""
    options = state.options
    if vm.role is not events.VmRole.WORKER:
        return
    if vm.data_centre != options.data_centre:
        return
    if _ids.slice_of(vm.name, options.slices) != held.number:
        return
    worker = held.ledger.workers_by_name.get(vm.name)
    if vm.state is events.VmState.GONE:
        if worker is not None:
            _workers.lose_all(state, held, worker, 'VM is gone', out)
            held.ledger.remove(vm.name)
            state.touched[held.number] = None
    elif worker is None:
        worker = _ledger.Worker(
            vm.name, vm.address, vm.rack, vm.upstream, vm.capacity, vm.state
        )
        worker.listed = state.vm_revision <= state.membership.vm_revision
        if not worker.listed:
            state.unlisted.append((held, worker))
        held.ledger.add(worker)
        _workers.sync(state, held, worker, out)
    else:
        worker.address = vm.address
        worker.state = vm.state
        held.ledger.resize(worker, vm.capacity)


def _change(name: str, held: _state.Slice) -> effects.LogChange:
    fields = {'slice': held.number, 'epoch': held.epoch}
    return effects.LogChange(name, fields)
