"""HTTP statuses by which a caller is told that its request was not run and never will be."""

from __future__ import annotations

from boragetiller.verdict import Verdict

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})  # callers may repeat any request after these
UNKNOWN_OUTCOME_STATUS = 502
FINAL_STATUSES = range(200, 600)  # RFC 9110, 15; nobody asks a server to switch protocols (101)


def implies_not_run(status: int) -> bool:
    """
    Check whether a status tells a caller that its request was not run.

    :param status: HTTP status
    :return: whether callers take it so
    """
    return status in NOT_RUN_STATUSES


def choose_truthful_status(status: int, verdict: Verdict) -> int:
    """
    Replace a status that would tell a caller wrongly that its request was not run.

    :param status: HTTP status of an error
    :param verdict: verdict over all attempts of the request
    :return: the status, or UNKNOWN_OUTCOME_STATUS if the request may have run
    """
    if implies_not_run(status) and verdict is not Verdict.NOT_RUN:
        return UNKNOWN_OUTCOME_STATUS
    return status


__all__ = [
    "FINAL_STATUSES",
    "NOT_RUN_STATUSES",
    "UNKNOWN_OUTCOME_STATUS",
    "choose_truthful_status",
    "implies_not_run",
]
