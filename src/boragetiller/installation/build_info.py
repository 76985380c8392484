"""What the running process is made of, for its log and its metrics."""

from __future__ import annotations

import sys
from dataclasses import dataclass
from functools import cache
from pathlib import Path

import boragetiller
from boragetiller.installation.extension_tags import get_interpreter_tag
from boragetiller.installation.installed_files import list_distributions
from boragetiller.installation.source_digest import compute_source_digest

PACKAGE = Path(boragetiller.__file__).resolve().parent
# Distributions whose version matters, and the extension module of those that have a fallback in
# Python: it is used silently where the extension module cannot be loaded.
LIBRARIES = {
    "aiohttp": "aiohttp._http_parser",
    "attrs": None,
    "frozenlist": "frozenlist._frozenlist",
    "loguru": None,
    "multidict": "multidict._multidict",
    "prometheus-client": None,
    "propcache": "propcache._helpers_c",
    "pycapnp": None,
    "yarl": "yarl._quoting_c",
}
UNKNOWN = "unknown"
REFERENCE_MODULE = "aiohttp"  # installed in the same folder as the others


@dataclass(frozen=True)
class BuildInfo:
    """Versions of a process and of what it uses."""

    version: str
    source: str  # digest of the source files, or UNKNOWN
    python: str
    machine: str  # interpreter and machine, as extension modules name them
    libraries: dict[str, str]  # version by name of the distribution


@cache
def get_build_info(adapter: Path | None = None) -> BuildInfo:
    """
    Describe the running process.

    :param adapter: folder of the platform's modules that the process uses, None for none
    :return: versions; those of the libraries only if they have been imported
    """
    return BuildInfo(
        version=boragetiller.__version__,
        source=_compute_digest([PACKAGE] if adapter is None else [PACKAGE, adapter]),
        python=".".join(map(str, sys.version_info[:3])),
        machine=get_interpreter_tag(),
        libraries=_list_libraries(),
    )


def _compute_digest(folders: list[Path]) -> str:
    try:
        return compute_source_digest(folders)
    except OSError:
        return UNKNOWN  # the process has loaded its modules and can serve without the digest


def _list_libraries() -> dict[str, str]:
    module = sys.modules.get(REFERENCE_MODULE)
    if module is None or module.__file__ is None:
        return {}
    installed = list_distributions(Path(module.__file__).parents[1])
    return {
        name: installed.get(name, UNKNOWN) + _describe_fallback(extension)
        for name, extension in LIBRARIES.items()
    }


def _describe_fallback(extension: str | None) -> str:
    return "" if extension is None or extension in sys.modules else " (without extension module)"


__all__ = ["BuildInfo", "get_build_info"]
