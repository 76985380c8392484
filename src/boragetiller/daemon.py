"""Run a router or an agent until a signal stops it; `boragetillerd` starts in daemon_entry.py."""

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
from boragetiller.platform_clients.clients import open_http_clients
from boragetiller.router.process import RouterProcess
from boragetiller.settings import Role, Settings, load_settings

if TYPE_CHECKING:
    from boragetiller.platform_clients.clients import PlatformClients
    from boragetiller.process import Endpoints

EXIT_OK = 0
EXIT_SETTINGS = 2
EXIT_START = 3
EXIT_FORCED = 4


class Process(Protocol):
    """A router or an agent."""

    async def start(self) -> None:
        """Start to serve."""
        ...

    async def close(self) -> None:
        """Stop gracefully."""
        ...

    def endpoints(self) -> Endpoints:
        """:return: role, name and ports of the process"""
        ...


def main() -> None:
    """Parse the command line and run the process; docs/OPERATIONS.md lists the exit codes."""
    fire.Fire(run)


def run(settings: str) -> NoReturn:
    """
    Run a router or an agent until SIGTERM or SIGINT; a second signal ends it without draining.

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
    Run the router or agent until a signal arrives.

    :param settings: settings of the process
    :return: exit code of the process
    """
    platform = await open_http_clients(settings.platform)
    process = build_process(settings, platform)
    first_signal = _install_stop_handlers()
    try:
        await process.start()
    except SettingsInvalid as error:
        print(error, file=sys.stderr)
        return EXIT_SETTINGS
    except OSError as error:
        print(f"cannot start {settings.role.value} {settings.name}: {error}", file=sys.stderr)
        return EXIT_START
    print(json.dumps(attrs.asdict(process.endpoints())), flush=True)
    await first_signal.wait()
    second_signal = _install_stop_handlers()
    return await _close(process, platform, second_signal)


def build_process(settings: Settings, platform: PlatformClients) -> Process:
    """
    Build the router or agent that the settings describe.

    :param settings: settings of the process
    :param platform: clients of the platform's services
    :return: the process, not yet started
    """
    if settings.role is Role.ROUTER:
        return RouterProcess(settings, platform)
    return AgentProcess(settings, platform)


async def _close(process: Process, platform: PlatformClients, second_signal: asyncio.Event) -> int:
    close_task = asyncio.create_task(process.close())
    signal_task = asyncio.create_task(second_signal.wait())
    await asyncio.wait({close_task, signal_task}, return_when=asyncio.FIRST_COMPLETED)
    if not close_task.done():
        close_task.cancel()
        return EXIT_FORCED
    signal_task.cancel()
    await platform.close()
    return EXIT_OK


def _install_stop_handlers() -> asyncio.Event:
    """Set an event on SIGTERM or SIGINT; replaces handlers that were installed before."""
    event = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, event.set)
    return event


__all__ = ["build_process", "main", "run", "serve"]

if __name__ == "__main__":
    main()
