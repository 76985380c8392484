"""Base classes of all errors, and construction of an error from its code."""

from __future__ import annotations

from boragetiller.verdict import Verdict


class BoragetillerError(Exception):
    """Base class of the errors that are reported to callers, operators or peers."""

    code = "internal"
    verdict = Verdict.MAY_HAVE_RUN
    http_status = 500
    retryable = False  # whether the router may make another attempt

    def __init__(
        self,
        message: str = "",
        *,
        verdict: Verdict | None = None,
        retry_after_s: int | None = None,
        owner: str | None = None,
    ) -> None:
        """
        Build the error.

        :param message: human-readable text; the first line of the class docstring when empty
        :param verdict: overrides the verdict of the class
        :param retry_after_s: delay in seconds before the caller should try again
        :param owner: name of the agent to send the request to instead
        """
        super().__init__(message or (self.__doc__ or "").strip().splitlines()[0])
        self.verdict = verdict or type(self).verdict
        self.retry_after_s = retry_after_s
        self.owner = owner


class NotRunError(BoragetillerError):
    """The request was refused before any byte of it was sent to a backend server."""

    code = "not_run"
    verdict = Verdict.NOT_RUN
    http_status = 503


def error_from_code(
    code: str,
    message: str,
    *,
    verdict: Verdict,
    retry_after_s: int | None = None,
    owner: str | None = None,
) -> BoragetillerError:
    """
    Construct the error that a peer reported.

    :param code: code of the error class; the base class is used for an unknown code
    :param message: human-readable text
    :param verdict: verdict that the peer reported
    :param retry_after_s: delay in seconds before the caller should try again
    :param owner: name of the agent to send the request to instead
    :return: the error
    """
    error_class = _collect_classes_by_code(BoragetillerError).get(code, BoragetillerError)
    return error_class(message, verdict=verdict, retry_after_s=retry_after_s, owner=owner)


def _collect_classes_by_code(base: type[BoragetillerError]) -> dict[str, type[BoragetillerError]]:
    found = {base.code: base}
    for subclass in base.__subclasses__():
        found |= _collect_classes_by_code(subclass)
    return found


__all__ = [
    "BoragetillerError",
    "NotRunError",
    "error_from_code",
]
