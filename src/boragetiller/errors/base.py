"""The base of all errors, and errors rebuilt from their codes."""

from __future__ import annotations

from boragetiller.verdict import Verdict


class BoragetillerError(Exception):
    """Base of every error that a caller, an operator or a peer may see."""

    code = "internal"
    verdict = Verdict.MAY_HAVE_RUN
    http_status = 500
    retryable = False  # whether another attempt by the router may help

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

        :param message: text for people; the class docstring when empty
        :param verdict: replaces the verdict of the class
        :param retry_after_s: delay in seconds that a caller should keep before another try
        :param owner: agent that should be asked instead
        """
        super().__init__(message or (self.__doc__ or "").strip().splitlines()[0])
        self.verdict = verdict or type(self).verdict
        self.retry_after_s = retry_after_s
        self.owner = owner


class NotRunError(BoragetillerError):
    """The request was refused before any byte reached a backend server."""

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
    Rebuild an error that a peer reported.

    :param code: code of the error class; an unknown one gives the base class
    :param message: text for people
    :param verdict: verdict as the peer told it
    :param retry_after_s: delay in seconds before another try
    :param owner: agent that should be asked instead
    :return: the error
    """
    error_class = _classes_by_code(BoragetillerError).get(code, BoragetillerError)
    return error_class(message, verdict=verdict, retry_after_s=retry_after_s, owner=owner)


def _classes_by_code(base: type[BoragetillerError]) -> dict[str, type[BoragetillerError]]:
    found = {base.code: base}
    for subclass in base.__subclasses__():
        found |= _classes_by_code(subclass)
    return found


__all__ = [
    "BoragetillerError",
    "NotRunError",
    "error_from_code",
]
