"""A parsed command that has not run yet."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from boragetiller.cli.exit_codes import ExitCode

DEFAULT_TIMEOUT_MS = 2_000


class Invocation:
    """A command with its arguments, run only after the whole command line has been parsed."""

    __slots__ = ("create_coroutine",)

    def __init__(self, create_coroutine: Callable[[], Coroutine[Any, Any, ExitCode]]) -> None:
        """:param create_coroutine: creates what runs the command"""
        self.create_coroutine = create_coroutine


__all__ = ["DEFAULT_TIMEOUT_MS", "Invocation"]
