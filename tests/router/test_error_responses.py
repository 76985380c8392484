"""Tests that status, verdict and retry headers of the router's errors agree."""

from __future__ import annotations

import json
import unittest

from boragetiller.errors import BoragetillerError, Draining, NotRunError, Overloaded, Preempted
from boragetiller.router.error_responses import build_error_response
from boragetiller.status_verdicts import NOT_RUN_STATUSES
from boragetiller.verdict import Verdict


class ErrorResponseTest(unittest.TestCase):
    """All error classes with all verdicts."""

    def test_status_of_a_request_that_may_have_run_does_not_say_that_it_was_not_run(self) -> None:
        # Guards against errors whose verdict is that of an earlier attempt or of their key.
        for error_class in _list_error_classes(BoragetillerError):
            for verdict in Verdict:
                with self.subTest(error=error_class.code, verdict=verdict):
                    response = build_error_response(error_class(verdict=verdict), "req-1")
                    self.assertEqual(response.headers["x-verdict"], verdict.value)
                    if verdict is not Verdict.NOT_RUN:
                        self.assertNotIn(response.status, NOT_RUN_STATUSES)

    def test_refusal_before_any_attempt_says_that_the_request_was_not_run(self) -> None:
        for error, status in ((Draining(retry_after_s=1), 503), (Overloaded(), 429)):
            self.assertEqual(build_error_response(error, "req-1").status, status)

    def test_failure_before_a_run_says_that_the_request_was_not_run(self) -> None:
        # Guards against callers that give up a request which they could have repeated.
        for error_class in _list_error_classes(NotRunError):
            status = build_error_response(error_class(), "req-1").status
            with self.subTest(error=error_class.code):
                self.assertTrue(status < 500 or status in NOT_RUN_STATUSES, status)

    def test_preempted_request_is_a_server_error(self) -> None:
        response = build_error_response(Preempted(), "req-1")
        self.assertEqual(response.status, 502)
        assert isinstance(response.body, bytes)
        self.assertEqual(json.loads(response.body)["error"]["type"], "server_error")


def _list_error_classes(base: type[BoragetillerError]) -> list[type[BoragetillerError]]:
    subclasses = base.__subclasses__()
    return [base, *(found for each in subclasses for found in _list_error_classes(each))]


if __name__ == "__main__":
    unittest.main()
