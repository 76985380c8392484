"""Origin of an unexpected error, for a log line in place of a traceback."""

from __future__ import annotations

import traceback
from pathlib import Path


def format_origin(error: BaseException) -> str:
    """
    Name where an error was raised.

    :param error: an error that was raised
    :return: file, line and function, empty without a traceback
    """
    frames = traceback.extract_tb(error.__traceback__)
    if not frames:
        return ""
    return f"{Path(frames[-1].filename).name}:{frames[-1].lineno} {frames[-1].name}"


__all__ = ["format_origin"]
