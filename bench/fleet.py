"""Starts a small fleet of real processes on loopback."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
import tempfile
from pathlib import Path
from typing import TYPE_CHECKING, Any

import aiohttp
import attrs
import yaml

from boragetiller.timeouts import wait_with_timeout

if TYPE_CHECKING:
    from collections.abc import Sequence

CONTROL_KEY = "control-key"
OPERATOR_KEY = "operator-key"
START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 30.0
LOOPBACK = "127.0.0.1"


@attrs.define
class FleetProcess:
    """One running process with its endpoints."""

    name: str
    process: asyncio.subprocess.Process
    endpoints: dict[str, Any]
    url: str

    @property
    def cpu_ticks(self) -> int:
        """:return: processor time used since the start, in clock ticks of the kernel"""
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rsplit(")", 1)[1].split()
        return int(fields[11]) + int(fields[12])

    @property
    def resident_kb(self) -> int:
        """:return: resident memory in KB"""
        for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1])
        return 0

    async def stop(self, signal_number: int = signal.SIGTERM) -> int:
        """
        Stop the process.

        :param signal_number: signal to send
        :return: its exit code
        """
        if self.process.returncode is None:
            self.process.send_signal(signal_number)
        return await wait_with_timeout(STOP_TIMEOUT_S, self.process.wait())


class ProcessFleet:
    """A stand-in of the platform and any number of backend servers, agents and routers."""

    def __init__(self) -> None:
        """Create an empty fleet."""
        self.processes: dict[str, FleetProcess] = {}
        self._folder = tempfile.TemporaryDirectory()

    async def start(self) -> None:
        """Start the stand-in of the platform."""
        await self.start_standin("platform", "platform_server")

    async def close(self) -> None:
        """Kill every process that still runs."""
        for member in reversed(self.processes.values()):
            if member.process.returncode is None:
                member.process.kill()
                await member.process.wait()
        self._folder.cleanup()

    async def start_standin(self, name: str, module: str, *arguments: str) -> FleetProcess:
        """
        Start a stand-in server.

        :param name: name in the fleet
        :param module: module in the package boragetiller.standin
        :param arguments: command-line flags
        :return: the process
        """
        return await self.start_module(name, f"boragetiller.standin.{module}", *arguments)

    async def start_module(self, name: str, module: str, *arguments: str) -> FleetProcess:
        """
        Start a module that prints its base URL once it is ready.

        :param name: name in the fleet
        :param module: full name of the module
        :param arguments: command-line flags
        :return: the process
        """
        process, line = await self._spawn(["-m", module, *arguments])
        member = FleetProcess(name, process, {}, line.strip())
        self.processes[name] = member
        return member

    async def start_agent(
        self, name: str, group: str, backend: FleetProcess, *, kind: str = "engine", **settings: Any
    ) -> FleetProcess:
        """
        Start an agent and add it to the host list.

        :param name: host name
        :param group: backend group
        :param backend: the agent's backend server
        :param kind: engine or service
        :param settings: additional settings
        :return: the process
        """
        backend_settings = {"name": backend.name, "group": group, "kind": kind, "url": backend.url}
        member = await self._start_daemon(name, "agent", backend=backend_settings, **settings)
        await self.put_host(member, group=group)
        return member

    async def start_router(self, name: str, **settings: Any) -> FleetProcess:
        """
        Start a router and add it to the host list.

        :param name: host name
        :param settings: additional settings
        :return: the process
        """
        member = await self._start_daemon(name, "router", **settings)
        await self.put_host(member)
        return member

    async def put_host(self, member: FleetProcess, *, group: str = "", state: str = "live") -> None:
        """
        Add or replace an entry of the platform's host list.

        :param member: process of the host
        :param group: backend group of an agent
        :param state: `live` or `leaving`
        """
        host = {
            "role": member.endpoints["role"],
            "address": LOOPBACK,
            "data_port": member.endpoints["data_port"],
            "control_port": member.endpoints["control_port"],
            "failure_domain": "fd-1",
            "group": group,
            "state": state,
        }
        url = f"{self.processes['platform'].url}/hosts/{member.name}"
        async with aiohttp.ClientSession() as session, session.put(url, json=host) as response:
            response.raise_for_status()

    async def apply_records(self, records: str) -> None:
        """
        Write records with the `apply` command.

        :param records: YAML documents
        """
        path = Path(self._folder.name) / "records.yaml"
        path.write_text(records)
        url = self.processes["platform"].url
        command = [
            "-m",
            "boragetiller.cli.main",
            "apply",
            str(path),
            "--store-url",
            url,
            "--office",
            "north",
        ]
        process = await asyncio.create_subprocess_exec(
            sys.executable, *command, stdout=asyncio.subprocess.DEVNULL
        )
        if await process.wait() != 0:
            raise RuntimeError(f"apply of {path.name} failed with exit code {process.returncode}")

    async def _start_daemon(self, name: str, role: str, **settings: Any) -> FleetProcess:
        platform_url = self.processes["platform"].url
        document = {
            "role": role,
            "name": name,
            "failure_domain": "fd-1",
            "control": {"key": CONTROL_KEY},
            "operator": {"key": OPERATOR_KEY},
            "platform": {"store_url": platform_url, "host_list_url": platform_url},
            "log_level": "WARNING",
            **settings,
        }
        path = Path(self._folder.name) / f"{name}.yaml"
        path.write_text(yaml.safe_dump(document))
        process, line = await self._spawn(["-m", "boragetiller.daemon", "--settings", str(path)])
        endpoints = json.loads(line)
        url = f"http://{LOOPBACK}:{endpoints['data_port']}"
        member = FleetProcess(name, process, endpoints, url)
        self.processes[name] = member
        return member

    async def _spawn(self, command: Sequence[str]) -> tuple[asyncio.subprocess.Process, str]:
        process = await asyncio.create_subprocess_exec(
            sys.executable, *command, stdout=asyncio.subprocess.PIPE
        )
        assert process.stdout is not None
        line = await wait_with_timeout(START_TIMEOUT_S, process.stdout.readline())
        if not line:
            raise RuntimeError(f"{command} exited before it was ready")
        return process, line.decode()


__all__ = ["CONTROL_KEY", "OPERATOR_KEY", "ProcessFleet", "FleetProcess"]
