"""Exit codes of the command line; docs/OPERATIONS.md explains them."""

from __future__ import annotations

from enum import IntEnum

from boragetiller.records.writes import WriteState


class ExitCode(IntEnum):
    """What a command's end means."""

    DONE = 0
    FAILED = 1  # a fault of the command itself
    INVALID = 2  # arguments or records are not valid, nothing was sent
    CONFLICT = 3  # another writer changed the same field, nothing of that record was written
    REFUSED = 4  # a reference or schema version does not allow it, nothing was written
    UNKNOWN = 5  # a reply was lost, run the same command again
    UNREACHABLE = 6  # the store or router did not answer, nothing was written
    REFERENCE_MISSING = 7  # accepted, and another write took away what it refers to
    DIFFERENT = 8  # diff found differences


_BY_STATE = {
    WriteState.ACCEPTED: ExitCode.DONE,
    WriteState.UNCHANGED: ExitCode.DONE,
    WriteState.CONFLICT: ExitCode.CONFLICT,
    WriteState.REFUSED: ExitCode.REFUSED,
    WriteState.NOT_ACCEPTED: ExitCode.UNREACHABLE,
    WriteState.UNKNOWN: ExitCode.UNKNOWN,
}
_PRECEDENCE = (ExitCode.UNKNOWN, ExitCode.CONFLICT, ExitCode.REFUSED, ExitCode.UNREACHABLE)


def choose_exit_code(states: list[WriteState]) -> ExitCode:
    """:return: the code of the most pressing state: unknown, conflict, refused, unreachable"""
    codes = {_BY_STATE[state] for state in states}
    return next((code for code in _PRECEDENCE if code in codes), ExitCode.DONE)


__all__ = ["ExitCode", "choose_exit_code"]
