"""The exact versions of the dependencies."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pathlib import Path

_PIN = re.compile(r"([A-Za-z0-9._-]+)==([A-Za-z0-9.!+]+)")
_SEPARATORS = re.compile(r"[-_.]+")


class RequirementInvalid(ValueError):
    """A line of a requirements file does not name one exact version."""


def normalize_name(name: str) -> str:
    """
    Normalize the name of a distribution, of which several spellings are in use.

    :param name: name as in a requirements file or a folder name
    :return: lower case, with hyphens
    """
    return _SEPARATORS.sub("-", name).lower()


def read_pins(path: Path) -> dict[str, str]:
    """
    Read a requirements file that pins all dependencies.

    :param path: the file
    :return: version by normalized name
    :raises RequirementInvalid: a line is not NAME==VERSION
    """
    pins = {}
    for number, line in enumerate(path.read_text(encoding="utf-8").splitlines(), start=1):
        requirement = line.partition("#")[0].strip()
        if not requirement:
            continue
        match = _PIN.fullmatch(requirement)
        if match is None:
            raise RequirementInvalid(f"{path}:{number}: got {requirement!r}; must be NAME==VERSION")
        pins[normalize_name(match[1])] = match[2]
    return pins


__all__ = ["RequirementInvalid", "normalize_name", "read_pins"]
