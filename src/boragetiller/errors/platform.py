"""Errors of settings, of the platform's services and of orders to engines."""

from __future__ import annotations

from boragetiller.errors.base import BoragetillerError
from boragetiller.verdict import Verdict


class SettingsInvalid(BoragetillerError):
    """A settings file or record is not valid."""

    code = "settings_invalid"
    verdict = Verdict.NOT_RUN
    http_status = 400


class StoreUnavailable(BoragetillerError):
    """The platform's store did not respond; a write may have taken effect."""

    code = "store_unavailable"
    http_status = 503


class HistoryLost(BoragetillerError):
    """The store no longer holds the changes after the requested revision."""

    code = "history_lost"
    http_status = 410


class EntryUnreadable(BoragetillerError):
    """A stored entry does not have the format that its key prefix requires."""

    code = "entry_unreadable"
    http_status = 400


class RevisionConflict(BoragetillerError):
    """The revision of the stored value differs from the one that the writer expected."""

    code = "revision_conflict"
    verdict = Verdict.NOT_RUN
    http_status = 409


class ValueTooLarge(BoragetillerError):
    """The value exceeds the size limit of the platform's store."""

    code = "value_too_large"
    verdict = Verdict.NOT_RUN
    http_status = 413


class LeaseExpired(BoragetillerError):
    """The lease that the order requires has expired; the order was not sent."""

    code = "lease_lapsed"
    verdict = Verdict.NOT_RUN
    http_status = 409


class OrderRefused(BoragetillerError):
    """The engine refused the order."""

    code = "order_refused"
    verdict = Verdict.NOT_RUN
    http_status = 409


class StaleFencingToken(OrderRefused):
    """The engine has already seen a higher fencing token."""

    code = "stale_fencing_number"


class DutyApiBusy(BoragetillerError):
    """The platform's API or the own pacing of its calls did not accept the call."""

    code = "duty_api_busy"
    verdict = Verdict.NOT_RUN
    http_status = 429


class DutyApiUnavailable(BoragetillerError):
    """The platform's API did not confirm the call; it may have been executed."""

    code = "duty_api_unavailable"
    http_status = 503


__all__ = [
    "DutyApiBusy",
    "DutyApiUnavailable",
    "EntryUnreadable",
    "HistoryLost",
    "LeaseExpired",
    "OrderRefused",
    "RevisionConflict",
    "SettingsInvalid",
    "StaleFencingToken",
    "StoreUnavailable",
    "ValueTooLarge",
]
