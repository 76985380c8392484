"""Entry point of `boragetillerd`: run one role until a signal ends it."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
from typing import TYPE_CHECKING, NoReturn, Protocol

import attrs
import fire

from boragetiller.agent.process import AgentProcess
from boragetiller.errors import SettingsInvalid
from boragetiller.events import configure_logging
from boragetiller.platform.clients import open_http_clients
from boragetiller.router.process import RouterProcess
from boragetiller.settings import Role, Settings, load_settings

if TYPE_CHECKING:
    from boragetiller.platform.clients import PlatformClients
    from boragetiller.process import Endpoints

EXIT_OK = 0
EXIT_SETTINGS = 2
EXIT_START = 3
EXIT_FORCED = 4


class Process(Protocol):
    """One role of the system."""

    async def start(self) -> None:
        """Begin to serve."""
        ...

    async def close(self) -> None:
        """Stop gracefully."""
        ...

    def endpoints(self) -> Endpoints:
        """:return: where the process listens"""
        ...


def main() -> None:
    """Parse the command line and run; exit codes are in docs/OPERATIONS.md."""
    fire.Fire(run)


def run(settings: str) -> NoReturn:
    """
    Run one process of the system until SIGTERM or SIGINT; a second signal ends it at once.

    :param settings: path of the YAML settings file
    """
    try:
        loaded = load_settings(settings)
    except SettingsInvalid as error:
        print(error, file=sys.stderr)
        raise SystemExit(EXIT_SETTINGS) from error
    configure_logging(loaded.log_level, json_lines=loaded.log_json)
    raise SystemExit(asyncio.run(serve(loaded)))


async def serve(settings: Settings) -> int:
    """
    Run the role until a signal.

    :param settings: settings of the process
    :return: exit code
    """
    platform = await open_http_clients(settings.platform)
    process = build_process(settings, platform)
    stop = _stop_event()
    try:
        await process.start()
    except SettingsInvalid as error:
        print(error, file=sys.stderr)
        return EXIT_SETTINGS
    except OSError as error:
        print(f"cannot start: {error}", file=sys.stderr)
        return EXIT_START
    print(json.dumps(attrs.asdict(process.endpoints())), flush=True)
    await stop.wait()
    forced = _stop_event()
    return await _close(process, platform, forced)


def build_process(settings: Settings, platform: PlatformClients) -> Process:
    """
    Build the role that the settings name.

    :param settings: settings of the process
    :param platform: clients of the platform's services
    :return: the process, not started
    """
    if settings.role is Role.ROUTER:
        return RouterProcess(settings, platform)
    return AgentProcess(settings, platform)


async def _close(process: Process, platform: PlatformClients, forced: asyncio.Event) -> int:
    closing = asyncio.create_task(process.close())
    force = asyncio.create_task(forced.wait())
    await asyncio.wait({closing, force}, return_when=asyncio.FIRST_COMPLETED)
    if not closing.done():
        closing.cancel()
        return EXIT_FORCED
    force.cancel()
    await platform.close()
    return EXIT_OK


def _stop_event() -> asyncio.Event:
    event = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, event.set)
    return event


__all__ = ["build_process", "main", "run", "serve"]

if __name__ == "__main__":
    main()
