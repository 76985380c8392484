"""Track the current attempt of each request, so that stale attempts do not start."""

from __future__ import annotations

from collections import OrderedDict

import attrs

from boragetiller.errors import StaleAttempt
from boragetiller.verdict import Verdict

MAX_KNOWN_REQUESTS = 20_000


@attrs.define
class RequestAttempt:
    """Newest known attempt of a request, and whether any attempt of it may have run."""

    number: int
    verdict: Verdict = Verdict.NOT_RUN
    withdrawn: bool = False


class AttemptTable:
    """Attempts of recent requests; the least recently used requests are evicted."""

    def __init__(self, max_requests: int = MAX_KNOWN_REQUESTS) -> None:
        """:param max_requests: number of requests kept"""
        self._known: OrderedDict[str, RequestAttempt] = OrderedDict()
        self._max_requests = max_requests

    def begin(self, request_id: str, number: int) -> None:
        """
        Make an attempt the current one of its request.

        :param request_id: the request
        :param number: number of the attempt
        :raises StaleAttempt: the same or a later attempt is known, or the attempt was withdrawn
        """
        known = self._known.get(request_id)
        if known is not None and number <= known.number:
            verdict = Verdict.NOT_RUN if known.withdrawn else Verdict.MAY_HAVE_RUN
            raise StaleAttempt(verdict=verdict.combine(known.verdict))
        verdict = known.verdict if known is not None else Verdict.NOT_RUN
        self._store(request_id, RequestAttempt(number, verdict))

    def mark_sent(self, request_id: str) -> None:
        """
        Record that the request is about to be sent to the backend server.

        :param request_id: the request
        """
        known = self._known.get(request_id)
        if known is not None:
            known.verdict = Verdict.MAY_HAVE_RUN

    def is_current(self, request_id: str, number: int) -> bool:
        """:return: whether the attempt may still start"""
        known = self._known.get(request_id)
        return known is not None and known.number == number and not known.withdrawn

    def withdraw(self, request_id: str, number: int) -> Verdict:
        """
        Withdraw attempts, so that those not started yet never start.

        :param request_id: the request
        :param number: attempts up to this number are withdrawn
        :return: NOT_RUN when no attempt was or will be sent to the backend server
        """
        known = self._known.get(request_id) or RequestAttempt(number)
        known.number = max(known.number, number)
        known.withdrawn = True
        self._store(request_id, known)
        return known.verdict

    def _store(self, request_id: str, known: RequestAttempt) -> None:
        self._known[request_id] = known
        self._known.move_to_end(request_id)
        while len(self._known) > self._max_requests:
            self._known.popitem(last=False)


__all__ = ["AttemptTable", "RequestAttempt"]
