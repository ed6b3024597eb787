"""Exit codes of the command line."""

import enum

from celeryshift_client import _errors
import celeryshift_core as core


class ExitCode(enum.IntEnum):
    """Exit codes of commands, for use in scripts."""

    OK = 0
    DIFFERENT = 1
    USAGE = 2
    REFUSED_NOT_RUN = 3
    REFUSED_UNKNOWN = 4
    REFUSED_RAN = 5
    CONFLICT = 6
    UNREACHABLE = 7
    MISTAKES = 8
    INTERNAL = 70


CODES_BY_RAN = {
    core.Ran.NO.value: ExitCode.REFUSED_NOT_RUN,
    core.Ran.UNKNOWN.value: ExitCode.REFUSED_UNKNOWN,
    core.Ran.YES.value: ExitCode.REFUSED_RAN,
}


def exit_code(error: Exception) -> ExitCode:
    """Return the exit code for an error."""
    if isinstance(error, _errors.ProblemError):
        if error.reason == core.Reason.CONFIGURATION_CONFLICT.value:
            return ExitCode.CONFLICT
        return CODES_BY_RAN[error.ran]
    if isinstance(error, _errors.UnreachableError):
        not_sent = error.ran is core.Ran.NO
        return ExitCode.UNREACHABLE if not_sent else ExitCode.REFUSED_UNKNOWN
    if isinstance(error, core.DocumentError):
        return ExitCode.MISTAKES
    if isinstance(error, _errors.UsageError):
        return ExitCode.USAGE
    return ExitCode.INTERNAL
