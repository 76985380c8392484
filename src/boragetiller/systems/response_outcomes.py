"""Classify the responses of backend servers: returned to the caller, retried, or failed."""

from __future__ import annotations

from typing import TYPE_CHECKING

from boragetiller.status_verdicts import FINAL_STATUSES, implies_not_run
from boragetiller.tables.direct_attempts import DirectAttemptOutcome

if TYPE_CHECKING:
    from boragetiller.tables.call_metadata import ResponseMetadata

SUCCESS = range(200, 300)
FIRST_SERVER_ERROR = 500
MISDIRECTED = 421


def states_not_run(metadata: ResponseMetadata, server: str) -> bool:
    """
    Check whether a backend server states that it did not run a request.

    A status alone is no statement: proxies and applications send each of them after a run too.

    :param metadata: status and headers of the response
    :param server: name of the server that the request was meant for; no other one runs it
    :return: whether the response has the statement, or is the misdirection of another server
    """
    if metadata.status in SUCCESS:
        return False
    is_from_another = metadata.instance is not None and metadata.instance != server
    return metadata.not_run or (metadata.status == MISDIRECTED and is_from_another)


def classify_head(metadata: ResponseMetadata, server: str) -> DirectAttemptOutcome | None:
    """
    Classify a response that is not returned to the caller, whatever its body.

    :param metadata: status and headers of the response
    :param server: name of the server that the request was meant for
    :return: the outcome, None if the response may be returned
    """
    succeeded = metadata.status in SUCCESS
    if metadata.status not in FINAL_STATUSES:
        return DirectAttemptOutcome.GARBLED
    if states_not_run(metadata, server):
        is_misdirected = metadata.status == MISDIRECTED
        return DirectAttemptOutcome.MISDIRECTED if is_misdirected else DirectAttemptOutcome.FULL
    if implies_not_run(metadata.status):
        return DirectAttemptOutcome.UNAVAILABLE
    if metadata.encoded or (succeeded and (metadata.not_run or not metadata.sealed)):
        return DirectAttemptOutcome.GARBLED
    return None


def classify_complete(metadata: ResponseMetadata) -> DirectAttemptOutcome:
    """
    Classify a response that was read completely, and that :func:`classify_head` lets pass.

    :param metadata: status and headers of the response
    :return: the outcome
    """
    if metadata.status < FIRST_SERVER_ERROR:
        return DirectAttemptOutcome.ANSWERED
    if metadata.sealed:
        return DirectAttemptOutcome.SERVER_ERROR
    return DirectAttemptOutcome.GARBLED


def describe_head(metadata: ResponseMetadata) -> str:
    """:return: what the classification depends on, for the log"""
    sealed = "sealed" if metadata.sealed else "not sealed"
    encoded = ", encoded" if metadata.encoded else ""
    not_run = ", not run" if metadata.not_run else ""
    instance = f", instance {metadata.instance!r:.40}" if metadata.instance else ""
    return f"status {metadata.status}, {sealed}{encoded}{not_run}{instance}"


__all__ = ["SUCCESS", "classify_complete", "classify_head", "describe_head", "states_not_run"]
