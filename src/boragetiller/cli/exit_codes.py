"""Exit codes of the command line, which docs/OPERATIONS.md describes."""

from __future__ import annotations

from enum import IntEnum

from boragetiller.records.writes import WriteState


class ExitCode(IntEnum):
    """Exit code of a command."""

    DONE = 0
    FAILED = 1  # the command itself failed
    INVALID = 2  # invalid arguments or records; nothing was sent
    CONFLICT = 3  # another writer changed the same field; the record was not written
    REFUSED = 4  # a reference or schema version does not allow the write; nothing was written
    UNKNOWN = 5  # a reply was lost; run the same command again
    UNREACHABLE = 6  # the store or a router did not respond; nothing was written
    REFERENCE_MISSING = 7  # accepted, but a concurrent write removed the target of a reference
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
    """:return: the code of the most severe state: unknown, conflict, refused, unreachable"""
    codes = {_BY_STATE[state] for state in states}
    return next((code for code in _PRECEDENCE if code in codes), ExitCode.DONE)


__all__ = ["ExitCode", "choose_exit_code"]
