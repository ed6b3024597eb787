"""The celeryshift command."""

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

JSON_FLAG = '--json'


def run(arguments: Sequence[str]) -> int:
    """Run a command; return its exit code."""
    try:
        action = fire.Fire(
            _commands.Commands,
            command=[_expand_json_flag(argument) for argument in arguments],
            name='celeryshift',
            serialize=_hide_action,
        )
        if not isinstance(action, _commands.Action):
            return _exits.ExitCode.USAGE
        result, as_json = asyncio.run(_commands.perform(action))
    except fire.core.FireExit as fire_exit:
        return int(fire_exit.code)
    except core.CeleryshiftError as error:
        sys.stderr.write(f'celeryshift: {error}\n')
        return _exits.exit_code(error)
    except KeyboardInterrupt:
        # The interrupted call may have taken effect.
        return _exits.ExitCode.REFUSED_UNKNOWN
    except Exception as error:
        sys.stderr.write(f'celeryshift: internal error: {error!r}\n')
        return _exits.ExitCode.INTERNAL
    for message in result.errors:
        sys.stderr.write(f'celeryshift: {message}\n')
    _print(_output.format_document(result.document, as_json))
    return result.code


def main() -> None:
    """Run celeryshift with the arguments of the command line."""
    raise SystemExit(int(run(sys.argv[1:])))


def _print(text: str) -> None:
    try:
        sys.stdout.write(text)
        sys.stdout.flush()
    except BrokenPipeError:
        # The reader closed the pipe. The interpreter flushes stdout again at
        # exit, which must not fail.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())


def _expand_json_flag(argument: str) -> str:
    # Fire would take the word after a bare flag as its value.
    return f'{JSON_FLAG}=True' if argument == JSON_FLAG else argument


def _hide_action(result: Any) -> Any:
    # Fire prints the result of a command; an action is not executed yet.
    return None if isinstance(result, _commands.Action) else result
