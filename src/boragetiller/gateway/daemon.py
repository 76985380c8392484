"""Run a gateway process until it gets a stop signal."""

from __future__ import annotations

import asyncio
import signal
import sys
from typing import TYPE_CHECKING

from boragetiller.clock import SystemClock
from boragetiller.events import configure_json_logging
from boragetiller.gateway.exit_codes import EXIT_OK, EXIT_START
from boragetiller.gateway.process import GatewayProcess
from boragetiller.gateway.settings_reloader import SettingsReloader
from boragetiller.gateway.supervisor import record_loop_errors
from boragetiller.log_sink import LogSink

if TYPE_CHECKING:
    from collections.abc import Callable
    from socket import socket

    from boragetiller.gateway.duties.settings import DutySettings
    from boragetiller.gateway.duty_interface import DutyClients, RecordStore
    from boragetiller.gateway.platform_interface import Dialect, StoreClient
    from boragetiller.gateway.policy_file import Policy
    from boragetiller.gateway.settings import Endpoint, GatewaySettings


async def serve(
    settings: GatewaySettings,
    load: Callable[[], GatewaySettings],
    policy: Policy,
    dialect: Dialect,
    open_store: Callable[[Endpoint], StoreClient],
    open_lease_store: Callable[[StoreClient], RecordStore],
    open_duty_clients: Callable[[StoreClient, DutySettings], DutyClients],
    caller_socket: socket,
) -> int:
    """
    Run until SIGTERM or SIGINT; SIGHUP reloads the settings.

    :param settings: settings of the process
    :param load: reads the settings file; raises SettingsInvalid
    :param policy: settings of the policy file
    :param dialect: header names and data formats of the platform
    :param open_store: creates the client of the platform's store
    :param open_lease_store: creates the client that writes to the store
    :param open_duty_clients: creates the clients that duties need; called only with duties
    :param caller_socket: socket that listens for connections of callers
    :return: exit code
    """
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    store = open_store(settings.store)
    duties = None if settings.duties is None else open_duty_clients(store, settings.duties)
    process = GatewayProcess(
        settings, dialect, store, caller_socket, duties, open_lease_store(store), policy
    )
    sink = LogSink(
        sys.stdout.fileno(), settings.name, SystemClock().now_ms, process.metrics.count_dropped_line
    )
    configure_json_logging(sink)
    record_loop_errors(loop, process.metrics)
    reloader = SettingsReloader(settings, load, process.apply, process.metrics)
    loop.add_signal_handler(signal.SIGHUP, reloader.check)
    try:
        await process.start()
    except OSError as error:
        print(f"cannot start: cannot listen: {error}", file=sys.stderr)
        return EXIT_START
    reloader.start()
    await stop.wait()
    await reloader.close()
    await process.close()
    return EXIT_OK


__all__ = ["serve"]
