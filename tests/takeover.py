"""Model checker for takeovers of a slice.

It runs real reducers against a model of the store and the network, and
explores every schedule of a few faults. As a program it takes three numbers:
of faults, of steps of 1 s in which they may occur, and of steps in total.
"""

import hashlib
import heapq
import pickle
import random
import sys
import time

import attrs

import celeryshift_core as core
from celeryshift_core import _lease
from celeryshift_core import effects
from celeryshift_core import events
from celeryshift_core import schema
from celeryshift_standins import _table

OPTIONS = {
    'slices': 1,
    'node_lease_s': 3.0,
    'node_renew_s': 1.0,
    'vm_poll_s': 2.0,
    'config_poll_s': 1e6,
    'nodes_poll_s': 1e6,
    'summary_s': 1e6,
    'settle_s': 0.5,
}
NODES = ('a', 'b', 'c')
START_INTERVAL_S = 0.7
SETTLED_AT_S = 5.9
FAST_DELAY_S = 0.01
SLOW_DELAY_S = 0.45

Outcome = events.Outcome
DEFAULT_ACTIONS = (
    *(f'{act} {name}' for act in ('cut', 'crash', 'vm') for name in 'ab'),
    *(f'{act} {name}' for act in ('restart', 'pause') for name in 'ab'),
    *('cut ab', 'store', 'join', 'lose', 'tear', 'slow', 'link ab', 'link ac'),
)
MORE_ACTIONS = ('cut c', 'pause c', 'restart c', 'link bc')


class OwnedTwiceError(AssertionError):
    """Two nodes could act on the slice at the same time."""


class ConstantRandom:
    """Random generator that returns the same number every time."""

    def random(self) -> float:
        """Return one half."""
        return 0.5


@attrs.define(eq=False)
class Model:
    """Nodes, store, faults in effect, and messages in flight."""

    now: float = 0.0
    states: dict[str, core.State] = attrs.field(factory=dict)
    paused: set[str] = attrs.field(factory=set)
    table: _table.Table = attrs.field(factory=_table.Table)
    vms: dict[str, tuple[int, events.Vm]] = attrs.field(factory=dict)
    cut: set[str] = attrs.field(factory=set)
    lose: bool = False
    tear: bool = False
    slow: bool = False
    count: int = 0
    queue: list[tuple] = attrs.field(factory=list)
    held_back: list[tuple] = attrs.field(factory=list)

    def start(self, name: str) -> None:
        """Start a node, or restart it as another incarnation."""
        self.count += 1
        state = core.State(core.Options(name, 'dc1', **OPTIONS))
        state.now = self.now
        self.states[name] = state
        self.list_vm(name, events.VmState.LIVE)
        self._feed(name, events.Started(self.now, f'{self.count}'))
        # A real generator is large and slow to pickle.
        state.rng = ConstantRandom()

    def heal(self) -> None:
        """Undo every fault, and start every node that has stopped."""
        self.cut.clear()
        self.lose = self.tear = self.slow = False
        for name in tuple(self.paused):
            self.act(f'pause {name}')
        for name in NODES:
            if name not in self.states:
                self.start(name)

    def list_vm(self, name: str, vm_state: events.VmState) -> None:
        """Change the entry of a node in the VM list."""
        role = events.VmRole.ENTRY
        vm = events.Vm(name, role, name, 'dc1', state=vm_state)
        self.vms[name] = (len(self.vms) + self.count, vm)
        self.count += 1

    def act(self, action: str) -> None:
        """Inject a fault, or undo it if it is in effect.

        `cut` separates nodes from the store and the VM list, `store` does so
        for all nodes, and `link` separates two nodes from each other. `lose`
        loses the answer to the next write, and `tear` then cuts the node off
        too. `slow` delays messages, `join` starts a third node, `crash` ends a
        node, `restart` also starts it again, `pause` suspends a node, and `vm`
        ends a node and removes its VM.
        """
        kind, _, target = action.partition(' ')
        if kind == 'cut':
            self.cut.symmetric_difference_update(target)
        elif kind == 'store':
            self.cut.symmetric_difference_update(NODES)
        elif kind == 'link':
            self.cut.symmetric_difference_update((target,))
        elif kind == 'join':
            self.start('c')
        elif kind in ('lose', 'tear'):
            self.lose = True
            self.tear = kind == 'tear'
        elif kind == 'slow':
            self.slow = not self.slow
        elif kind == 'pause':
            self.paused.symmetric_difference_update(target)
            held_back, self.held_back = self.held_back, []
            for node, event in held_back:
                self._schedule(0.0, node, event)
        else:
            self.states.pop(target, None)
            if kind == 'restart':
                self.start(target)
            elif kind == 'vm':
                self.list_vm(target, events.VmState.GONE)

    def run(self, until: float) -> None:
        """Deliver events and timers in order of time until a given time."""
        while True:
            timers = [
                (state.timers.next_at, name)
                for name, state in self.states.items()
                if name not in self.paused
            ]
            at, name = min(timers, default=(until, ''))
            if self.queue and self.queue[0][0] <= min(at, until):
                self.now, _, name, event = heapq.heappop(self.queue)
                self._deliver(name, event)
            elif at <= until and name:
                self.now = max(self.now, at)
                self._feed(name, events.Tick(self.now))
            else:
                break
            self.check()
        self.now = until

    def acting(self) -> list[str]:
        """Return the nodes that may act on the slice."""
        return [
            name
            for name, state in self.states.items()
            if name not in self.paused
            and state.slices_by_number
            and self.now + _lease.SEND_ALLOWANCE_S < _lease.valid_until(state)
        ]

    def check(self) -> None:
        """Raise OwnedTwiceError if two nodes may act on the slice."""
        acting = self.acting()
        if len(acting) > 1:
            raise OwnedTwiceError(f'{acting} at {self.now:.2f} s')

    def _schedule(
        self, delay_s: float, name: str, event: events.Event
    ) -> None:
        self.count += 1
        entry = (self.now + delay_s, self.count, name, event)
        heapq.heappush(self.queue, entry)

    def _deliver(self, node: str, event: events.Event) -> None:
        """Deliver an event to its process if that is still running."""
        name = node.partition('/')[0]
        state = self.states.get(name)
        to_process = isinstance(event, events.PeerMessageArrived)
        if name in self.paused:
            self.held_back.append((node, event))
        elif state is not None and (to_process or state.node == node):
            self._feed(name, attrs.evolve(event, now=self.now))

    def _feed(self, name: str, event: events.Event) -> None:
        state = self.states[name]
        for effect in core.reduce(state, event):
            if isinstance(effect, effects.WriteStore):
                self._write(name, state.node, effect)
            elif isinstance(effect, effects.ReadStore):
                self._read(name, state.node, effect)
            elif isinstance(effect, effects.FetchVms):
                self._fetch(name, state.node, effect)
            elif isinstance(effect, effects.SendMessage):
                self._send(name, state.node, effect)

    def _write(self, name: str, node: str, effect: effects.WriteStore) -> None:
        unknown = events.StoreWritten(0.0, effect.op_id, Outcome.UNKNOWN)
        if name in self.cut:
            self._schedule(0.6, node, unknown)
            return
        found = self.table.transact(
            effect.checks, effect.puts, effect.deletes, effect.prefixes
        )
        outcome = Outcome.OK if found.ok else Outcome.REFUSED
        answer = events.StoreWritten(
            0.0, effect.op_id, outcome, found.version, _rows(found)
        )
        self._schedule(FAST_DELAY_S, node, unknown if self.lose else answer)
        if self.tear:
            self.cut.add(name)
        self.lose = self.tear = False

    def _read(self, name: str, node: str, effect: effects.ReadStore) -> None:
        rows = None
        if name not in self.cut:
            rows = _rows(self.table.read(effect.keys, effect.prefixes))
        self._schedule(
            FAST_DELAY_S, node, events.StoreRead(0.0, effect.op_id, rows)
        )

    def _fetch(self, name: str, node: str, effect: effects.FetchVms) -> None:
        vms = [
            vm
            for revision, vm in self.vms.values()
            if revision > effect.revision
        ]
        event = events.VmsFetched(
            0.0,
            max(revision for revision, _ in self.vms.values()),
            None if name in self.cut else vms,
        )
        self._schedule(FAST_DELAY_S, node, event)

    def _send(self, name: str, node: str, effect: effects.SendMessage) -> None:
        link = ''.join(sorted((name, effect.address)))
        if link not in self.cut:
            message = events.PeerMessageArrived(0.0, node, effect.message)
            delay_s = SLOW_DELAY_S if self.slow else FAST_DELAY_S
            self._schedule(delay_s, effect.address, message)


@attrs.define
class Exploration:
    """Exploration of every schedule of a few faults."""

    faults: int
    fault_steps: int
    steps: int
    actions: tuple[str, ...] = DEFAULT_ACTIONS
    step_s: float = 1.0
    runs: int = 0
    ownerless: int = 0
    _seen: set[bytes] = attrs.field(factory=set)

    @property
    def states(self) -> int:
        """Return the number of distinct states reached."""
        return len(self._seen)

    def explore(self) -> None:
        """Run every schedule.

        Raises OwnedTwiceError with the schedule that led to two owners.
        """
        saved = pickle.dumps(settled(), -1)
        self._explore(saved, self.faults, self.steps, ())

    def _explore(
        self, saved: bytes, faults: int, steps: int, path: tuple[str, ...]
    ) -> None:
        may_fail = faults and steps > self.steps - self.fault_steps
        for action in (*(self.actions if may_fail else ()), ''):
            model = pickle.loads(saved)
            schedule = (*path, action or '-')
            if action == 'join' and 'c' in model.states:
                continue
            try:
                if action:
                    model.act(action)
                    model.check()
                model.run(model.now + self.step_s)
            except OwnedTwiceError as error:
                raise OwnedTwiceError(f'{error}: {schedule}') from None
            self.runs += 1
            after = pickle.dumps(model, -1)
            faults_left = faults - bool(action)
            key = hashlib.blake2b(after + bytes((faults_left,))).digest()
            if steps > 1 and key not in self._seen:
                self._explore(after, faults_left, steps - 1, schedule)
            self._seen.add(key)


def settled() -> Model:
    """Return a model of two nodes, one of which owns the slice."""
    model = Model()
    for name in 'ab':
        model.start(name)
        model.run(model.now + START_INTERVAL_S)
    model.run(SETTLED_AT_S)
    return model


def walk(seed: int, steps: int) -> Model:
    """Run one long random schedule of many faults.

    Raises OwnedTwiceError if two nodes may act on the slice at once.
    """
    rng = random.Random(seed)
    model = settled()
    for _ in range(steps):
        for _ in range(rng.choice((0, 0, 1, 1, 2))):
            action = rng.choice(DEFAULT_ACTIONS + MORE_ACTIONS)
            if action != 'join' or 'c' not in model.states:
                model.act(action)
                model.check()
        model.run(model.now + rng.choice((0.3, 0.5, 1.0, 2.0, 4.0)))
    return model


def _rows(answer: _table.TableResult) -> dict[str, schema.Row]:
    return {
        key: schema.Row(version, value)
        for key, (version, value) in answer.rows.items()
    }


def main(faults: int, fault_steps: int, steps: int) -> None:
    """Explore the schedules and print the number of states."""
    began = time.monotonic()
    actions = DEFAULT_ACTIONS + MORE_ACTIONS
    exploration = Exploration(faults, fault_steps, steps, actions)
    exploration.explore()
    sys.stdout.write(
        f'up to {faults} of {len(actions)} faults in the first '
        f'{fault_steps} of {steps} s: {exploration.runs} steps, '
        f'{exploration.states} states, no slice owned twice, '
        f'{time.monotonic() - began:.0f} s\n'
    )


if __name__ == '__main__':
    main(*(int(argument) for argument in sys.argv[1:]))
