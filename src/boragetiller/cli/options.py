"""Options shared by several commands, with defaults from the environment."""

from __future__ import annotations

import os
import re
import sys
from pathlib import Path

import attrs

from boragetiller.cli.report import OutputFormat, parse_output_format
from boragetiller.errors import SettingsInvalid

STORE_URL_VARIABLE = "BORAGETILLER_STORE_URL"
OFFICE_VARIABLE = "BORAGETILLER_OFFICE"
OPERATOR_URL_VARIABLE = "BORAGETILLER_OPERATOR_URL"
OPERATOR_KEY_VARIABLE = "BORAGETILLER_OPERATOR_KEY"
_OFFICE_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")


@attrs.frozen(kw_only=True)
class StoreOptions:
    """Options of a command that accesses the store."""

    store_url: str
    timeout_ms: int
    output: OutputFormat


@attrs.frozen(kw_only=True)
class OperatorOptions:
    """Options of a command that queries routers."""

    operator_urls: tuple[str, ...]
    operator_key: str = attrs.field(repr=False)
    timeout_ms: int
    output: OutputFormat


def parse_store_options(store_url: object, timeout_ms: object, output: object) -> StoreOptions:
    """
    Check the options of a command that accesses the store.

    :raises SettingsInvalid: an option is missing or invalid; names it
    """
    return StoreOptions(
        store_url=_get_required(store_url, "--store-url", STORE_URL_VARIABLE),
        timeout_ms=parse_positive("--timeout-ms", timeout_ms),
        output=parse_output_format(str(output)),
    )


def parse_operator_options(
    operator_url: object, operator_key: object, timeout_ms: object, output: object
) -> OperatorOptions:
    """
    Check the options of a command that queries routers.

    :raises SettingsInvalid: an option is missing or invalid; names it
    """
    if isinstance(operator_url, list | tuple):
        operator_url = ",".join(map(str, operator_url))
    urls = _get_required(operator_url, "--operator-url", OPERATOR_URL_VARIABLE).split(",")
    for url in urls:
        if not url.startswith(("http://", "https://")):
            raise SettingsInvalid(f"--operator-url {url}: must begin with http:// or https://")
    return OperatorOptions(
        operator_urls=tuple(url.rstrip("/") for url in urls),
        operator_key=_get_required(operator_key, "--operator-key", OPERATOR_KEY_VARIABLE),
        timeout_ms=parse_positive("--timeout-ms", timeout_ms),
        output=parse_output_format(str(output)),
    )


def parse_office(office: object) -> str:
    """
    Check the name of the writing office.

    :raises SettingsInvalid: the name is missing or malformed
    """
    name = _get_required(office, "--office", OFFICE_VARIABLE)
    if not _OFFICE_PATTERN.fullmatch(name):
        raise SettingsInvalid(f"--office {name}: must match {_OFFICE_PATTERN.pattern}")
    return name


def parse_positive(option: str, value: object) -> int:
    """
    Check that the value of an option is a positive integer.

    :raises SettingsInvalid: the value is not a positive integer
    """
    if isinstance(value, bool) or not isinstance(value, int) or value <= 0:
        raise SettingsInvalid(f"{option} {value}: must be a whole number above 0")
    return value


def read_file(path: object) -> str:
    """
    Read a file of records, or standard input for `-`.

    :raises SettingsInvalid: the file cannot be read
    """
    try:
        if str(path) == "-":
            return sys.stdin.read()
        return Path(str(path)).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError, ValueError) as error:
        raise SettingsInvalid(f"{path}: cannot be read: {error}") from error


def _get_required(value: object, option: str, variable: str) -> str:
    text = os.environ.get(variable, "") if value is None else str(value)
    if not text or value is True:
        raise SettingsInvalid(f"{option}: required; give the option or set {variable}")
    return text


__all__ = [
    "OFFICE_VARIABLE",
    "OPERATOR_KEY_VARIABLE",
    "OPERATOR_URL_VARIABLE",
    "STORE_URL_VARIABLE",
    "OperatorOptions",
    "StoreOptions",
    "parse_office",
    "parse_operator_options",
    "parse_positive",
    "read_file",
    "parse_store_options",
]
