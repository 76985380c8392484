"""Checks of values that come from other processes."""

from __future__ import annotations

import re
from typing import Any

MAX_INT64 = (1 << 63) - 1  # numbers are stored and exchanged as Int64
_CONTROL_CHARACTER = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")


def is_encodable(text: str) -> bool:
    """
    Check whether UTF-8 can encode a text, as hashes, logs and messages require.

    It cannot encode lone surrogates. JSON and YAML can write them, and aiohttp decodes header bytes
    that are not UTF-8 to them.

    :param text: the text
    :return: whether it has no lone surrogate
    """
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def is_sendable_header(value: str) -> bool:
    """
    Check whether aiohttp can write a header value that it has parsed.

    Its parser of responses accepts control characters that its writer refuses.

    :param value: value of the header
    :return: whether it has no control character but tabs
    """
    return _CONTROL_CHARACTER.search(value) is None


def is_in_range(number: float) -> bool:
    """
    Check whether a number can be calculated with and sent.

    To be called before a conversion, since float() raises OverflowError for a large integer, and
    int() for infinity.

    :param number: any number, also infinite or not a number
    :return: whether it is within the range of Int64
    """
    return -MAX_INT64 <= number <= MAX_INT64  # a comparison with NaN is false


def check_count(value: Any, highest: int = MAX_INT64) -> int:
    """
    Check that a parsed value is a count.

    :param value: the value
    :param highest: highest allowed number
    :return: the value
    :raises ValueError: not an integer from 0 to the highest allowed one
    """
    if type(value) is not int or not 0 <= value <= highest:
        raise ValueError(f"got {value!r:.40}; must be an integer from 0 to {highest}")
    return value


__all__ = ["MAX_INT64", "check_count", "is_encodable", "is_in_range", "is_sendable_header"]
