"""Load generator: sends requests and prints a summary of the answers."""

import asyncio
import collections
import json
import sys
from typing import Any

import attrs
import fire
import uvloop

import celeryshift_client

MAX_COUNT = 100_000
MAX_RATE_PER_S = 2_000.0


@attrs.define
class CallStats:
    """Waits of answered requests, and counts of refusals."""

    waits_s: list[float] = attrs.field(factory=list)
    refusals: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )

    def summary(self) -> dict[str, Any]:
        """Return counts, and the median wait in milliseconds."""
        ordered = sorted(self.waits_s)
        median = ordered[len(ordered) // 2] if ordered else 0.0
        return {
            'answered': len(ordered),
            'refused': dict(self.refusals),
            'median_wait_ms': round(1000 * median, 3),
        }


async def _send_request(
    client: celeryshift_client.Client,
    kind: str,
    queue: str,
    payload: dict[str, Any],
    stats: CallStats,
) -> None:
    try:
        answer = await client.request(kind, queue, payload)
        stats.waits_s.append(answer['waited_s'])
    except celeryshift_client.ProblemError as error:
        stats.refusals[f'{error.reason}, ran: {error.ran}'] += 1
    except celeryshift_client.UnreachableError:
        stats.refusals['unreachable'] += 1


async def send_requests(
    url: str,
    token: str,
    kind: str,
    queue: str,
    count: int,
    rate_per_s: float,
    run_s: float,
) -> CallStats:
    """Send requests at a constant rate, and wait for every answer."""
    stats = CallStats()
    loop = asyncio.get_running_loop()
    async with celeryshift_client.Client(url, token) as client:
        started_at = loop.time()
        tasks = []
        for number in range(min(count, MAX_COUNT)):
            due_at = started_at + number / min(rate_per_s, MAX_RATE_PER_S)
            await asyncio.sleep(max(0.0, due_at - loop.time()))
            coroutine = _send_request(
                client, kind, queue, {'run_s': run_s}, stats
            )
            tasks.append(asyncio.create_task(coroutine))
        await asyncio.gather(*tasks)
    return stats


def main(
    url: str,
    kind: str,
    queue: str,
    token: str = '',
    count: int = 100,
    rate_per_s: float = 100.0,
    run_s: float = 0.0,
) -> None:
    """Send requests to a node, and print a summary as JSON."""
    stats = uvloop.run(
        send_requests(url, token, kind, queue, count, rate_per_s, run_s)
    )
    sys.stdout.write(json.dumps(stats.summary()) + '\n')


if __name__ == '__main__':
    fire.Fire(main, command=sys.argv[1:])
