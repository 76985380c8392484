"""Classify the responses of backend servers: returned to the caller, retried, or failed."""

from __future__ import annotations

from typing import TYPE_CHECKING

from boragetiller.status_verdicts import implies_not_run
from boragetiller.tables.direct_attempts import DirectAttemptOutcome

if TYPE_CHECKING:
    from boragetiller.tables.call_metadata import ResponseMetadata

SUCCESS = range(200, 300)
FIRST_SERVER_ERROR = 500
MISDIRECTED = 421


def classify_head(metadata: ResponseMetadata) -> DirectAttemptOutcome | None:
    """
    Classify a response that is not returned to the caller, whatever its body.

    :param metadata: status and headers of the response
    :return: the outcome, None if the response may be returned
    """
    succeeded = metadata.status in SUCCESS
    if metadata.not_run:
        is_misdirected = metadata.status == MISDIRECTED
        return DirectAttemptOutcome.MISDIRECTED if is_misdirected else DirectAttemptOutcome.FULL
    if implies_not_run(metadata.status):
        return DirectAttemptOutcome.UNAVAILABLE
    if metadata.encoded or (succeeded and not metadata.sealed):
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


__all__ = ["SUCCESS", "classify_complete", "classify_head"]
