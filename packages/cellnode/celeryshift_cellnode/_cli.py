"""Command celeryshift-cell: shows the state of nodes, cells and jobs."""

import asyncio
import json
from typing import Any

import fire

from celeryshift_cellnode import _peers
from celeryshift_cellnode import errors
from celeryshift_net import http1

TIMEOUT_S = 3.0


def show(address: str) -> str:
    """Show the state of a node and its cell; ADDRESS is its peer address."""
    return _call(address, 'show', {})


def explain(address: str, job: str) -> str:
    """Show why the tasks of a job wait; ADDRESS must be the cell's owner."""
    return _call(address, 'explain', {'job': job})


def _call(address: str, name: str, body: Any) -> str:
    async def call() -> Any:
        channels = http1.ChannelPool()
        try:
            peers = _peers.Peers(channels)
            return await peers.call(address, name, body, TIMEOUT_S)
        finally:
            await channels.close()

    try:
        return json.dumps(asyncio.run(call()), indent=2)
    except errors.PeerError as error:
        raise SystemExit(f'celeryshift-cell: {error}') from error


def main() -> None:
    """Run the command."""
    fire.Fire({'show': show, 'explain': explain}, name='celeryshift-cell')
