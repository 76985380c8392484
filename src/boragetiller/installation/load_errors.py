"""Report a module that cannot be loaded, in one log line and with an exit code of its own."""

from __future__ import annotations

import importlib
import json
import os
import sys
import time
import traceback
from contextlib import contextmanager
from pathlib import Path
from typing import TYPE_CHECKING

from boragetiller.event_numbers import Event
from boragetiller.installation.extension_tags import get_interpreter_tag, list_extension_tags

if TYPE_CHECKING:
    from collections.abc import Iterator

EXIT_LOAD = 5  # a module cannot be loaded
IMPORT_SYSTEM = ("<frozen ", str(Path(importlib.__file__).parent))


@contextmanager
def exit_on_load_error() -> Iterator[None]:
    """
    End the process with EXIT_LOAD if the imports in the block fail.

    A broken module may raise any error while it is loaded, not just ImportError.

    :raises SystemExit: a module cannot be loaded; a line about it was written to standard output
    """
    try:
        yield
    except Exception as error:
        print(json.dumps(describe_load_error(error)), flush=True)
        raise SystemExit(EXIT_LOAD) from None


def describe_load_error(error: Exception) -> dict[str, object]:
    """
    Build the log line about a module that cannot be loaded.

    :param error: the error that an import raised
    :return: fields of the line; `made_for` is empty if the module has no compiled parts
    """
    path = _find_file(error)
    return _build_line(
        Event.PROCESS_NOT_LOADED,
        module=_name_module(error, path),
        file=str(path),
        reason=f"{type(error).__name__}: {error}",
        made_for=list_extension_tags(_find_package(path)),
        python=".".join(map(str, sys.version_info[:3])),
        machine=get_interpreter_tag(),
        executable=sys.executable,
        search_path=sys.path,
    )


def _build_line(event: Event, **fields: object) -> dict[str, object]:
    """Build a line like those of LogSink, whose libraries may be what cannot be loaded."""
    time_ms = time.time_ns() // 1_000_000
    line = {"time_ms": time_ms, "process": os.uname().nodename, "event": event.value}
    return line | fields | {"event_name": event.name.lower()}


def _name_module(error: Exception, path: Path) -> str:
    """:return: name of the module that is missing, or that the file is"""
    if isinstance(error, ModuleNotFoundError) and error.name is not None:
        return error.name
    package = _find_package(path)
    folder = package.parent if (package / "__init__.py").is_file() else package
    module = path.parent if path.name == "__init__.py" else path
    names = module.relative_to(folder).parts
    return ".".join([*names[:-1], names[-1].partition(".")[0]])


def _find_file(error: Exception) -> Path:
    """:return: the file that cannot be loaded, or the one whose import statement failed"""
    named = getattr(error, "path", None) or getattr(error, "filename", None)
    if named is not None:
        return Path(named)
    files = [frame.filename for frame in traceback.extract_tb(error.__traceback__)]
    return Path([name for name in files if not name.startswith(IMPORT_SYSTEM)][-1])


def _find_package(path: Path) -> Path:
    """:return: the folder of the outermost package that has the file, or the folder of the file"""
    package = path.parent
    while (package.parent / "__init__.py").is_file():
        package = package.parent
    return package


__all__ = ["EXIT_LOAD", "describe_load_error", "exit_on_load_error"]
