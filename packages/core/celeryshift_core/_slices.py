"""Lifecycle of an owned slice: recovery, workers, release."""

import attrs

from celeryshift_core import _departures
from celeryshift_core import _gangs
from celeryshift_core import _ids
from celeryshift_core import _jobs
from celeryshift_core import _ledger
from celeryshift_core import _queue
from celeryshift_core import _rerouting
from celeryshift_core import _shares
from celeryshift_core import _state
from celeryshift_core import _tasks
from celeryshift_core import _timers
from celeryshift_core import _workers
from celeryshift_core import effects
from celeryshift_core import events
from celeryshift_core import schema


@attrs.define(eq=False)
class _TeamLoad:
    """Load of a team on a slice, by which the queue ranks the teams."""

    state: _state.State
    slice_: _state.Slice = attrs.field(init=False)

    def __call__(self, team: str) -> float:
        return _shares.weighted_share(self.state, self.slice_, team)


def recover(
    state: _state.State,
    number: int,
    epoch: int,
    row: schema.Row,
    job_rows: dict[str, schema.Row],
    outbox: _state.Outbox,
) -> None:
    """Start recovery of an acquired slice: restore jobs and sync workers.

    No task of a former owner is started again until every worker has reported
    its tasks, or the task leases of the former owner have certainly expired.
    """
    load = _TeamLoad(state)
    slice_ = _state.Slice(
        number,
        epoch,
        row.version,
        _queue.Queue(load),
        row.value['vm_revision'],
        row.version,
    )
    load.slice_ = slice_
    state.slices_by_number[number] = slice_
    outbox.append(_slice_change('slice-taken', slice_))
    for row in job_rows.values():
        _jobs.restore(state, slice_, row)
    key = _timers.RecoveryEnds(number, epoch)
    state.timers.set(key, state.now + state.options.inherited_tasks_end_s)
    for vm in state.vms_by_name.values():
        _apply_vm(state, slice_, vm, outbox)
    outbox.append(effects.FetchVms(state.vm_revision))
    mark_ready_if_reported(state, slice_, outbox)


def mark_ready_if_reported(
    state: _state.State, slice_: _state.Slice, outbox: _state.Outbox
) -> None:
    """End the recovery of a slice once every worker has reported."""
    if slice_.phase is not _state.SlicePhase.RECOVERING:
        return
    # The former owner may have used workers not known to this node yet.
    if state.vm_revision < max(1, slice_.vm_revision):
        return
    workers = slice_.ledger.workers_by_name.values()
    if all(worker.answered for worker in workers):
        mark_ready(state, slice_, outbox)


def mark_ready(
    state: _state.State, slice_: _state.Slice, outbox: _state.Outbox
) -> None:
    """End recovery: queue the tasks that no worker runs."""
    if slice_.phase is not _state.SlicePhase.RECOVERING:
        return
    state.timers.cancel(_timers.RecoveryEnds(slice_.number, slice_.epoch))
    slice_.phase = _state.SlicePhase.READY
    for task_id in sorted(slice_.unaccounted):
        task = slice_.tasks_by_id.get(task_id)
        if task is None or task.state is not _tasks.TaskState.UNACCOUNTED:
            continue
        if not _workers.apply_deferred_end(state, slice_, task, outbox):
            task.record_decision(state.now, 'queued', 'no worker runs it')
            _jobs.requeue_task(state, slice_, task, outbox)
    slice_.unaccounted.clear()
    outbox.append(_slice_change('slice-ready', slice_))
    state.slices_to_place[slice_.number] = None


def drop(state: _state.State, number: int, outbox: _state.Outbox) -> None:
    """Remove a slice that was released or is owned by another node."""
    slice_ = state.slices_by_number.pop(number)
    outbox.append(_slice_change('slice-dropped', slice_))
    for request in _reroute_queued(state, number):
        request.detach_from_slice()


def begin_release(
    state: _state.State, number: int, outbox: _state.Outbox
) -> None:
    """Stop placing tasks on a slice that is to be handed over."""
    slice_ = state.slices_by_number[number]
    if slice_.phase is not _state.SlicePhase.RELEASING:
        slice_.phase = _state.SlicePhase.RELEASING
        _rerouting.reroute_all(state, slice_)
        _gangs.release_all(state, slice_)
        outbox.append(_slice_change('slice-releasing', slice_))


def _reroute_queued(state: _state.State, number: int) -> list[_state.Request]:
    """Schedule the queued requests of a slice for routing; return them."""
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


def is_idle(state: _state.State, slice_: _state.Slice) -> bool:
    """Return whether a slice in release has no outstanding operations."""
    return (
        slice_.phase is _state.SlicePhase.RELEASING
        and not slice_.unconfirmed_starts
        and not slice_.writing_jobs
        and not slice_.dirty_jobs
        and not any(
            request.slice == slice_.number
            for request in state.requests_by_id.values()
        )
    )


def resume_all(state: _state.State, outbox: _state.Outbox) -> None:
    """Sync workers and place tasks again, now that the lease is valid."""
    for slice_ in state.slices_by_number.values():
        for worker in slice_.ledger.workers_by_name.values():
            if not worker.syncing and worker.silent_since is None:
                _workers.sync(state, slice_, worker, outbox)
        state.slices_to_place[slice_.number] = None


def mark_announced(state: _state.State) -> None:
    """Make workers usable once the registration covers their VM revision.

    The registration records the revision of the VM list, and the next owner
    of a slice waits until it has that revision too.
    """
    if state.membership.vm_revision < state.vm_revision:
        return
    pending, state.unannounced = state.unannounced, []
    for slice_, worker in pending:
        worker.announced = True
        if worker.name in slice_.ledger.workers_by_name:
            slice_.ledger.refresh(worker)
            state.slices_to_place[slice_.number] = None


def handle_vms_fetched(
    state: _state.State, event: events.VmsFetched, outbox: _state.Outbox
) -> None:
    """Apply the changes of the VM list.

    An answer that a newer one has overtaken has nothing that the newer one
    lacks, and would undo changes.
    """
    if event.vms is None or event.revision < state.vm_revision:
        return
    state.vm_revision = event.revision
    for vm in event.vms:
        _departures.record_vm(state, vm)
        _update_vm_list(state, vm)
        for slice_ in state.slices_by_number.values():
            _apply_vm(state, slice_, vm, outbox)
    for slice_ in list(state.slices_by_number.values()):
        mark_ready_if_reported(state, slice_, outbox)
        if event.vms:
            _rerouting.reroute(state, slice_)


def _update_vm_list(state: _state.State, vm: events.Vm) -> None:
    slices = state.options.slices
    before = state.vms_by_name.pop(vm.name, None)
    if before is not None and before.state is events.VmState.LIVE:
        state.fleet.remove(before, slices)
    if vm.state is not events.VmState.GONE:
        state.vms_by_name[vm.name] = vm
    if vm.state is events.VmState.LIVE:
        # A leaving worker gets no new work, so its capacity does not count.
        state.fleet.add(vm, slices)


def _apply_vm(
    state: _state.State,
    slice_: _state.Slice,
    vm: events.Vm,
    outbox: _state.Outbox,
) -> None:
    """Update the ledger of a slice from one entry of the VM list."""
    options = state.options
    if vm.role is not events.VmRole.WORKER:
        return
    if vm.data_centre != options.data_centre:
        return
    if _ids.slice_of(vm.name, options.slices) != slice_.number:
        return
    worker = slice_.ledger.workers_by_name.get(vm.name)
    if vm.state is events.VmState.GONE:
        if worker is not None:
            _workers.lose_all(
                state, slice_, worker, 'VM is gone', True, outbox
            )
            slice_.ledger.remove(vm.name)
            state.slices_to_place[slice_.number] = None
    elif worker is None:
        worker = _ledger.Worker(
            vm.name, vm.address, vm.rack, vm.upstream, vm.capacity, vm.state
        )
        worker.announced = state.vm_revision <= state.membership.vm_revision
        if not worker.announced:
            state.unannounced.append((slice_, worker))
        slice_.ledger.add(worker)
        _workers.sync(state, slice_, worker, outbox)
    else:
        worker.address = vm.address
        worker.state = vm.state
        slice_.ledger.resize(worker, vm.capacity)


def _slice_change(name: str, slice_: _state.Slice) -> effects.LogChange:
    fields = {'slice': slice_.number, 'epoch': slice_.epoch}
    return effects.LogChange(name, fields)
