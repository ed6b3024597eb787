"""Scheduling logic of celeryshift, as a pure reducer over events."""

from celeryshift_core._config import Access
from celeryshift_core._config import check
from celeryshift_core._config import Config
from celeryshift_core._config import Key
from celeryshift_core._config import Kind
from celeryshift_core._config import parse
from celeryshift_core._config import Policy
from celeryshift_core._config import Queue
from celeryshift_core._config import structure
from celeryshift_core._config import Team
from celeryshift_core._config import unstructure
from celeryshift_core._config import Upstream
from celeryshift_core._config import UpstreamState
from celeryshift_core._errors import CeleryshiftError
from celeryshift_core._errors import ConfigurationConflictError
from celeryshift_core._errors import ConfigurationError
from celeryshift_core._errors import DocumentError
from celeryshift_core._errors import SettingsError
from celeryshift_core._options import Options
from celeryshift_core._reducer import reduce
from celeryshift_core._refusals import Ran
from celeryshift_core._refusals import Reason
from celeryshift_core._refusals import Refusal
from celeryshift_core._size import Size
from celeryshift_core._state import State
from celeryshift_core._wait_times import percentile

__all__ = [
    'Access',
    'CeleryshiftError',
    'Config',
    'ConfigurationConflictError',
    'ConfigurationError',
    'DocumentError',
    'Key',
    'Kind',
    'Options',
    'Policy',
    'Queue',
    'Ran',
    'Reason',
    'Refusal',
    'SettingsError',
    'Size',
    'State',
    'Team',
    'Upstream',
    'UpstreamState',
    'check',
    'parse',
    'percentile',
    'reduce',
    'structure',
    'unstructure',
]
