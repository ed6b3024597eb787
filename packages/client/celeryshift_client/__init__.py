"""The library of operators and callers."""

from celeryshift_client._api import Client
from celeryshift_client._api import ProblemError
from celeryshift_client._api import UnreachableError
from celeryshift_client._fleet import Fleet
from celeryshift_client._fleet import new_secret
from celeryshift_client._main import main

__all__ = [
    'Client',
    'Fleet',
    'ProblemError',
    'UnreachableError',
    'main',
    'new_secret',
]
