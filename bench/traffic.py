"""Metering of the messages, bytes and processor time of a simulated node."""

import asyncio
import collections
from collections.abc import Coroutine
import json
import time
from typing import Any
from unittest import mock

import attrs

import celeryshift_core as core
from celeryshift_core import effects
from celeryshift_core import events
from celeryshift_net import pools
from celeryshift_node import _calls
from celeryshift_node import _peers
from celeryshift_node import _platform
from celeryshift_node import _wire
from celeryshift_node import _workers
from celeryshift_standins import world as worlds

# Bytes that aiohttp adds to the bodies of one call on loopback: request line
# and headers, status line and headers. bench.capacity prints them.
HEADER_BYTES = 323
EMPTY_REPLY_BYTES = 2
TOKEN = 'x' * 32
# Calls that carry tasks, requests and jobs. `bench.capacity` leaves them out
# of its total, which is the cost of the control plane alone.
WORK_EFFECTS = frozenset(
    {
        'StartTask',
        'StopTask',
        'SendRequest',
        'ForwardRequest',
        'ForwardJob',
        'ForwardJobAct',
    }
)


@attrs.define
class Flow:
    """Number, bytes and processor time of the calls of one kind."""

    calls: int = 0
    byte_count: int = 0
    cpu_s: float = 0.0


class EffectEncoder:
    """Encoder that yields the bodies that the clients of a node send.

    While it is in use, `record_call` must be patched in for `_calls.call`.
    """

    def __init__(self) -> None:
        self._body = b''
        pool = mock.create_autospec(pools.ChannelPool, instance=True)
        self._peers = _peers.Peers(pool, TOKEN, 'n0:7400/0123456789ab')
        self._workers = _workers.Workers(pool, 1.0)
        self._platform = _platform.Platform(pool, 'http://platform')

    def encode(self, effect: effects.Effect) -> bytes | None:
        """Return the body of an effect's call, None if it makes no call."""
        call = self._create_call(effect)
        if call is None:
            return None
        self._body = b''
        # Only this call needs an event loop.
        if isinstance(effect, effects.SendRequest):
            asyncio.run(call)
        else:
            _run_to_end(call)
        return self._body

    async def record_call(
        self,
        channel: Any,
        method: str,
        url: str,
        body: Any = None,
        *rest: Any,
        **named: Any,
    ) -> _calls.Reply:
        """Record the body of a call in place of making it."""
        data = b'' if body is None else json.dumps(body).encode()
        self._body = self._body or data
        return _calls.Reply(events.Outcome.UNSENT)

    def _create_call(self, effect: Any) -> Coroutine[Any, Any, Any] | None:
        match effect:
            case effects.SyncWorker():
                return self._workers.sync(effect)
            case effects.StartTask():
                return self._workers.start(effect)
            case effects.StopTask():
                return self._workers.stop(effect)
            case effects.SendRequest():
                return self._workers.request(effect, {'run_s': 0.1})
            case effects.SendMessage():
                return self._peers.send(effect)
            case effects.ForwardRequest():
                return self._peers.forward_request(effect, {'run_s': 0.1})
            case effects.ForwardJob():
                return self._peers.forward_job(effect)
            case effects.ForwardJobAct():
                return self._peers.forward_job_act(effect)
            case effects.WriteStore():
                return self._platform.write(effect)
            case effects.ReadStore():
                return self._platform.read(effect)
            case effects.FetchVms():
                return self._platform.fetch_vms(effect.revision)
        return None


class MeteredWorld(worlds.World):
    """Simulated world that meters the calls of one of its nodes."""

    def __init__(self, seed: int, metered_node: str, **options: Any) -> None:
        super().__init__(seed, **options)
        self._metered_node = metered_node
        self._encoder = EffectEncoder()
        self._flow_by_op: dict[str, str] = {}
        self.metering = False
        self.flows: dict[str, Flow] = {}

    def start_metering(self) -> None:
        """Reset the counts and start metering."""
        self.flows = collections.defaultdict(Flow)
        self.metering = True

    def run_until(self, when: float) -> None:
        """Advance virtual time; bodies are encoded but not sent."""
        with mock.patch.object(_calls, 'call', self._encoder.record_call):
            super().run_until(when)

    def feed(self, node: worlds.Node, event: events.Event) -> None:
        """Pass an event to a node, and count it if the node is metered."""
        if not (self.metering and node.name == self._metered_node):
            super().feed(node, event)
            return
        name, data = _encode_event(event, self._flow_by_op)
        flow = self.flows[name]
        if isinstance(event, events.PeerMessageArrived):
            flow.calls += 1
            flow.byte_count += HEADER_BYTES + EMPTY_REPLY_BYTES
        flow.byte_count += len(data)
        began = time.process_time()
        _decode_body(event, data)
        emitted = core.reduce(node.state, event)
        flow.cpu_s += time.process_time() - began
        for effect in emitted:
            self._count_effect(effect)
            self._handlers_by_effect[type(effect)](self, node, effect)
        next_at = node.state.timers.next_at
        if next_at is not None:
            self.call_at(next_at, lambda: self._tick(node, next_at))

    def _count_effect(self, effect: effects.Effect) -> None:
        began = time.process_time()
        body = self._encoder.encode(effect)
        took_s = time.process_time() - began
        if body is None:
            return
        name = type(effect).__name__
        if isinstance(effect, effects.SendMessage):
            name = type(effect.message).__name__
        if isinstance(effect, effects.WriteStore | effects.ReadStore):
            self._flow_by_op[effect.op_id] = name
        flow = self.flows[name]
        flow.calls += 1
        flow.byte_count += HEADER_BYTES + len(body)
        # Its time would include the start of an event loop.
        if not isinstance(effect, effects.SendRequest):
            flow.cpu_s += took_s


def _run_to_end(call: Coroutine[Any, Any, Any]) -> None:
    """Run a coroutine without an event loop; it must not wait."""
    try:
        call.send(None)
    except StopIteration:
        return
    raise AssertionError(call)


def _encode_event(
    event: events.Event, flow_by_op: dict[str, str]
) -> tuple[str, bytes]:
    """Return the name of an event's flow and the body that carried it."""
    match event:
        case events.PeerMessageArrived():
            body = {
                'sender': event.sender,
                **_wire.encode_message(event.message),
            }
            return type(event.message).__name__, _to_json(body)
        case events.WorkerSynced():
            return 'SyncWorker', _to_json(
                {
                    'cursor': event.cursor,
                    'whole': event.whole,
                    'tasks': core.unstructure(event.reports or []),
                }
            )
        case events.StoreWritten() | events.StoreRead():
            name = flow_by_op.pop(event.op_id, 'ReadStore')
            rows = event.rows or {}
            body = {
                'rows': {
                    key: [row.version, row.value] for key, row in rows.items()
                }
            }
            return name, _to_json(body)
        case events.VmsFetched():
            vms = core.unstructure(event.vms or [])
            return 'FetchVms', _to_json(
                {'revision': event.revision, 'vms': vms}
            )
        case events.TaskStarted():
            return 'StartTask', b'{}'
        case events.RequestAnswered():
            return 'SendRequest', b'{"run_id": "r~1", "answer": {}}'
    return type(event).__name__, b''


def _to_json(body: Any) -> bytes:
    return json.dumps(body).encode()


def _decode_body(event: events.Event, data: bytes) -> None:
    document = json.loads(data) if data else {}
    if isinstance(event, events.PeerMessageArrived):
        _wire.decode_message(document)
    elif isinstance(event, events.WorkerSynced):
        for task in document['tasks']:
            _wire.decode_task_report(task)
    elif isinstance(event, events.VmsFetched):
        for vm in document['vms']:
            _wire.decode_vm(vm)
