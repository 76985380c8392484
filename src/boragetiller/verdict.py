"""The verdict of an error: whether the request may have been executed."""

from __future__ import annotations

from enum import Enum


class Verdict(Enum):
    """Whether a request was executed by a backend server."""

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"

    def combine(self, other: Verdict) -> Verdict:
        """
        Combine the verdicts of two attempts of one request.

        :param other: verdict of another attempt
        :return: RAN if either attempt ran, NOT_RUN only if neither can have run
        """
        if Verdict.RAN in (self, other):
            return Verdict.RAN
        if Verdict.MAY_HAVE_RUN in (self, other):
            return Verdict.MAY_HAVE_RUN
        return Verdict.NOT_RUN


__all__ = ["Verdict"]
