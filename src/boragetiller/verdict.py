"""The verdict: what a caller may conclude about the execution of its request."""

from __future__ import annotations

from enum import Enum


class Verdict(Enum):
    """Whether a request may have run on a backend server."""

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"

    def combine(self, other: Verdict) -> Verdict:
        """
        Join the verdicts of two attempts of one request.

        :param other: verdict of another attempt
        :return: the weaker promise: NOT_RUN only when neither attempt ran
        """
        if Verdict.RAN in (self, other):
            return Verdict.RAN
        if Verdict.MAY_HAVE_RUN in (self, other):
            return Verdict.MAY_HAVE_RUN
        return Verdict.NOT_RUN


__all__ = ["Verdict"]
