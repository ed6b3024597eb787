"""Client library and command line for operators and callers."""

from celeryshift_client._api import Client
from celeryshift_client._errors import ProblemError
from celeryshift_client._errors import UnreachableError
from celeryshift_client._errors import UsageError
from celeryshift_client._exits import ExitCode
from celeryshift_client._fleet import Fleet
from celeryshift_client._fleet import new_secret
from celeryshift_client._main import main
from celeryshift_client._main import run
from celeryshift_client._schema import config_schema

__all__ = [
    'Client',
    'ExitCode',
    'Fleet',
    'ProblemError',
    'UnreachableError',
    'UsageError',
    'config_schema',
    'main',
    'new_secret',
    'run',
]
