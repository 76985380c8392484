"""Settings, the platform's services and orders to engines."""

from __future__ import annotations

from boragetiller.errors.base import BoragetillerError
from boragetiller.verdict import Verdict


class SettingsInvalid(BoragetillerError):
    """A settings file or record is not valid."""

    code = "settings_invalid"
    verdict = Verdict.NOT_RUN
    http_status = 400


class StoreUnavailable(BoragetillerError):
    """The platform's store did not answer; a write may have taken effect."""

    code = "store_unavailable"
    http_status = 503


class HistoryLost(BoragetillerError):
    """The store no longer knows what changed after the revision asked for."""

    code = "history_lost"
    http_status = 410


class EntryUnreadable(BoragetillerError):
    """A stored entry is not of the form that its key promises."""

    code = "entry_unreadable"
    http_status = 400


class RevisionConflict(BoragetillerError):
    """The stored value has another revision than the writer expected."""

    code = "revision_conflict"
    verdict = Verdict.NOT_RUN
    http_status = 409


class ValueTooLarge(BoragetillerError):
    """The value is larger than the platform's store holds."""

    code = "value_too_large"
    verdict = Verdict.NOT_RUN
    http_status = 413


class LeaseLapsed(BoragetillerError):
    """The lease that an order needs has lapsed; nothing was sent."""

    code = "lease_lapsed"
    verdict = Verdict.NOT_RUN
    http_status = 409


class OrderRefused(BoragetillerError):
    """The engine refused an order."""

    code = "order_refused"
    verdict = Verdict.NOT_RUN
    http_status = 409


class StaleFencingNumber(OrderRefused):
    """The engine knows a newer fencing number."""

    code = "stale_fencing_number"


__all__ = [
    "EntryUnreadable",
    "HistoryLost",
    "LeaseLapsed",
    "OrderRefused",
    "RevisionConflict",
    "SettingsInvalid",
    "StaleFencingNumber",
    "StoreUnavailable",
    "ValueTooLarge",
]
