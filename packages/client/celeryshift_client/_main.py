"""The command celeryshift."""

import asyncio
from collections.abc import Sequence
import os
import sys
from typing import Any

import fire

from celeryshift_client import _commands
from celeryshift_client import _exits
from celeryshift_client import _output
import celeryshift_core as core

SWITCH = '--json'


def run(arguments: Sequence[str]) -> int:
    """Run a command; give its exit code."""
    try:
        act = fire.Fire(
            _commands.Commands,
            command=[_as_switch(argument) for argument in arguments],
            name='celeryshift',
            serialize=_hide_act,
        )
        if not isinstance(act, _commands.Act):
            return _exits.ExitCode.USAGE
        result, as_json = asyncio.run(_commands.perform(act))
    except fire.core.FireExit as ending:
        return int(ending.code)
    except core.CeleryshiftError as error:
        sys.stderr.write(f'celeryshift: {error}\n')
        return _exits.code_of(error)
    except KeyboardInterrupt:
        return _exits.ExitCode.REFUSED_UNKNOWN
    except Exception as error:
        sys.stderr.write(f'celeryshift: internal error: {error!r}\n')
        return _exits.ExitCode.INTERNAL
    for message in result.errors:
        sys.stderr.write(f'celeryshift: {message}\n')
    _print(_output.write(result.document, as_json))
    return result.code


def main() -> None:
    """Start celeryshift from the command line."""
    raise SystemExit(int(run(sys.argv[1:])))


def _print(text: str) -> None:
    try:
        sys.stdout.write(text)
        sys.stdout.flush()
    except BrokenPipeError:
        # Who reads has seen enough; the interpreter flushes once more.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())


def _as_switch(argument: str) -> str:
    # A bare switch would take the next word as its value.
    return f'{SWITCH}=True' if argument == SWITCH else argument


def _hide_act(result: Any) -> Any:
    return None if isinstance(result, _commands.Act) else result
