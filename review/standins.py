"""Small stand-ins of the platform's store, of engines, consumers and the process supervisor.

They follow the users' pages (SYSTEM.md, PROTOCOL.md, DEPLOY.md, RULES.md) and use only the standard
library. All addresses are loopback addresses; all times are seconds of the real monotonic clock.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import urllib.parse
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
RUN = ["python3", "-S", "platform/router.py"]  # the `run` line of deploy/system.toml
BEAT_S = 1.2
CONTACT_S = 3.0
DRAIN_S = 2.0
HOST = "kopar.example"
KEY = "n2ctnfzs989anu6wsjnb"
_used_ports: set[int] = set()


def free_port(count: int = 1) -> int:
    """Return the first of `count` TCP ports that are free now, below those of outgoing channels."""
    while True:
        first = random.SystemRandom().randrange(12_000, 32_000)
        ports = set(range(first, first + count))
        if not ports & _used_ports and all(map(_is_free, ports)):
            _used_ports.update(ports)
            return first


def _is_free(port: int) -> bool:
    with socket.socket() as sock:
        try:
            sock.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self.start

    def log(self, what: str, **fields: object) -> None:
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{self.now():8.3f} {what} {text}".rstrip() + "\n")
        self._file.flush()

    def close(self) -> None:
        self._file.close()


class Request:
    """A request as it was read."""

    def __init__(self, method: str, target: str, headers: dict[str, str], body: bytes) -> None:
        self.method, self.target, self.headers, self.body = method, target, headers, body
        self.path, _, query = target.partition("?")
        self.query = dict(urllib.parse.parse_qsl(query))


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    """Read a first line and headers; None if the channel has ended."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    first, *lines = data.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Read a body that has a length or comes in chunks."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:size]
            if size == 0:
                return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    head = await read_head(reader)
    if head is None:
        return None
    method, target, _ = head[0].split(" ", 2)
    return Request(method, target, head[1], await read_body(reader, head[1]))


def build_response(status: int, headers: dict[str, str], body: bytes) -> bytes:
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Store:
    """The platform's store: ranges and watches over HTTP; the operator and engines write directly."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self.items: dict[str, dict] = {}
        self.history: list[dict] = []
        self.revision = 1
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.address = ""

    async def start(self) -> None:
        port = free_port()
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", port)
        self.address = f"127.0.0.1:{port}"

    def put(self, key: str, value: bytes) -> int:
        self.revision += 1
        created = self.items.get(key, {}).get("created", self.revision)
        item = {"key": key, "value": base64.b64encode(value).decode(), "revision": self.revision}
        item |= {"created": created, "lease": 0}
        self.items[key] = item
        return self._append(item)

    def remove(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._append({"key": key, "revision": self.revision, "tombstone": True})

    def _append(self, event: dict) -> int:
        self.history.append(event)
        self._changed.set()
        self._changed = asyncio.Event()
        return self.revision

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while (request := await read_request(reader)) is not None:
                status, document = await self._handle(request)
                headers = {"Content-Type": "application/json", "Store-Era": "1"}
                writer.write(build_response(status, headers, json.dumps(document).encode()))
                await writer.drain()
        self._writers.discard(writer)
        writer.close()

    async def _handle(self, request: Request) -> tuple[int, dict]:
        prefix = request.query.get("path-prefix", "")
        if request.path == "/kv-key":
            item = self.items.get(request.query["key"])
            return (200, item | {"current-rev": self.revision}) if item else (404, {})
        if request.path == "/kv-range":
            after = request.query.get("after", "")
            keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
            entries = [self.items[key] for key in keys[:500]]
            more = len(keys) > len(entries)
            return 200, {"entries": entries, "has-more": more, "current-rev": self.revision}
        if request.path == "/kv-watch":
            after, ends = int(request.query["after"]), time.monotonic()
            ends += int(request.query["wait-ms"]) / 1_000
            while True:
                events = [
                    event
                    for event in self.history
                    if event["revision"] > after and event["key"].startswith(prefix)
                ]
                left = ends - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "current-rev": self.revision}
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self._changed.wait(), left)
        return 404, {}

    async def close(self) -> None:
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()


class Engine:
    """One place for an engine; each start at its address is a new incarnation with a new id."""

    def __init__(self, store: Store, record: Record, name: str, service: str, zone: str) -> None:
        self.store, self.record = store, record
        self.name, self.service, self.zone = name, service, zone
        self.port = free_port()
        self.incarnation = 0
        self.state = "ready"
        self.seq = 0
        self.slots = 64
        self.running = 0
        self.crashes = 0
        self.on_request = None  # async (engine, request, writer) -> None
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._beat: asyncio.Task | None = None

    @property
    def id(self) -> str:
        return f"i-{self.name}-{self.incarnation}"

    @property
    def up(self) -> bool:
        return self._server is not None

    async def start(self) -> None:
        self.incarnation += 1
        self.seq, self.state, self.running = 0, "ready", 0
        self.born = time.time_ns() // 1_000_000
        self._server = await asyncio.start_server(
            self._accept, "127.0.0.1", self.port, limit=1 << 20
        )
        self.register()
        self._beat = asyncio.create_task(self._keep_registered())
        self.record.log("engine-up", id=self.id, address=f"127.0.0.1:{self.port}")

    def register(self) -> None:
        self.seq += 1
        entry = {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold-left-ms": 0,
            "seq": self.seq,
            "born": self.born,
        }
        self.store.put(f"servers/{self.id}", json.dumps(entry).encode())

    async def _keep_registered(self) -> None:
        while True:
            await asyncio.sleep(BEAT_S)
            if f"servers/{self.id}" not in self.store.items:
                self.register()  # otherwise nothing but `seq` has changed

    def crash(self, down_s: float | None) -> None:
        """End at once; be back after `down_s`; the entry lapses after three ping intervals."""
        if not self.up:
            return
        self.crashes += 1
        self.record.log("engine-crash", id=self.id)
        self._stop()
        loop = asyncio.get_running_loop()
        loop.call_later(3 * BEAT_S, self.store.remove, f"servers/{self.id}")
        if down_s is not None:
            loop.call_later(down_s, lambda: asyncio.ensure_future(self.start()))

    def _stop(self) -> None:
        if self._beat is not None:
            self._beat.cancel()
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()
        self._writers.clear()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                await self._handle(request, writer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _handle(self, request: Request, writer: asyncio.StreamWriter) -> None:
        if request.path == "/kv-list":
            document = {"epoch": self.incarnation, "next": 1, "held": []}
            body = json.dumps(document).encode()
            writer.write(build_response(200, {"Content-Type": "application/json"}, body))
            return
        expected = request.headers.get("x-boragetiller-expect-instance")
        if expected is not None and expected != self.id:
            headers = {"X-Boragetiller-Instance-Id": self.id}
            writer.write(build_response(421, self.echo(request) | headers, b""))
            return
        self.running += 1
        try:
            assert self.on_request is not None
            await self.on_request(self, request, writer)
        finally:
            self.running -= 1

    def echo(self, request: Request) -> dict[str, str]:
        attempt = request.headers.get("x-boragetiller-attempt-id", "")
        return {"X-Boragetiller-Attempt-Id": attempt}

    def head(self, request: Request) -> dict[str, str]:
        load = f"{self.running},0,{self.slots}"
        seal = {"X-Boragetiller-Response-Seal": f"seal.{self.id}", "X-Boragetiller-Server-Load": load}
        return self.echo(request) | seal

    def begin_stream(self, request: Request, writer: asyncio.StreamWriter, **more: str) -> None:
        headers = self.head(request) | {"Content-Type": "text/event-stream"} | more
        lines = ["HTTP/1.1 200 OK", "Transfer-Encoding: chunked"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")

    def send_event(self, writer: asyncio.StreamWriter, number: int) -> None:
        event = f"id: {number}\ndata: piece {number}\n\n".encode()
        writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")

    def close(self) -> None:
        self._stop()


class Router:
    """One machine: the project's program, as the deploy file runs it, restarted when it ends."""

    def __init__(self, record: Record, folder: Path, number: int, zone: str, store: str) -> None:
        self.record, self.folder, self.number, self.zone, self.store = record, folder, number, zone, store
        self.name = f"front-{zone}-{number}"
        self.front, self.ready, self.control = free_port(), free_port(), free_port()
        self.range = free_port(2)  # the program serves its metrics on the second
        self.process: asyncio.subprocess.Process | None = None
        self.started = -1e9  # of the present process
        self.disturbed = -1e9  # last kill, stop or continue
        self.ends: list[tuple[float, int]] = []
        self._wanted = False
        self._task: asyncio.Task | None = None

    def write_settings(self, seeds: list[str], **params: object) -> None:
        bounds = {
            "seed-lag-s": 3, "addr-reuse-s": 2, "contact-ms": 3000, "ack-ms": 4000, "catch-up-s": 4,
            "drain-ms": 2000, "grace-s": 8, "loss-slack-ms": 200, "config-apply-ms": 2000,
            "downgrade-slack-ms": 250, "max-skew-ms": 5000, "strict-revoke": "false",
            "revoke-ms": 5000, "retry-budget-ratio": 0.2, "budget-window-s": 10, "retry-slack": 56,
            "recovery-s": 12, "event-delay-ms": 120, "reuse-window-s": 10,
        } | params  # fmt: skip
        lines = [
            f'node-name = "{self.name}"',
            'role = "router"',
            'machine-class = "front"',
            'serves = ["front","control"]',
            'ip = "127.0.0.1"',
            f'zone = "{self.zone}"',
            'region = "vesturland"',
            f"port-range = [{self.range},{self.range + 1}]",
            f"seeds = {json.dumps(seeds)}",
            "bootstrap = true",
            "in-fault-budget = false",
            'discovery = "platform"',
            'entry = "vip"',
            "heartbeat-ms = 1200",
            "[listen]",
            f'front = "127.0.0.1:{self.front}"',
            f'ready = "127.0.0.1:{self.ready}"',
            f'control = "127.0.0.1:{self.control}"',
            "[limits]",
            "cpu-share = 0.817",
            "cores = 1",
            "memory-mb = 300",
            "max-fds = 4100",
            "link-mbps = 1000.0",
            "disk-mb = 0",
            "[contract-params]",
            *(f"{name} = {value}" for name, value in bounds.items()),
            "[platform]",
            f'address = "{self.store}"',
            'form = "kv"',
            "writes-per-s = 400",
            "reads-per-s = 2000",
            "retention-s = 20",
            "value-bytes = 1048576",
            "ttl-min-ms = 1000",
        ]
        self._settings().write_text("\n".join(lines) + "\n", encoding="utf-8")

    def _settings(self) -> Path:
        return self.folder / f"{self.name}.toml"

    async def start(self) -> None:
        self._wanted = True
        await self._spawn()
        self._task = asyncio.create_task(self._restart())

    async def _spawn(self) -> None:
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env |= {"BORAGETILLER_CONFIG": str(self._settings())}
        env |= {"PYTHONPATH": str(ROOT / "target" / "deps"), "PYTHONDONTWRITEBYTECODE": "1"}
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *RUN, cwd=ROOT, env=env, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log
            )
        self.started = self.record.now()
        self.record.log("router-start", name=self.name, pid=self.process.pid)

    async def _restart(self) -> None:
        while self._wanted:
            assert self.process is not None
            code = await self.process.wait()
            self.ends.append((self.record.now(), code))
            self.record.log("router-end", name=self.name, code=code)
            await asyncio.sleep(0.5)
            if self._wanted:
                await self._spawn()

    def signal(self, number: int) -> None:
        if self.process is not None and self.process.returncode is None:
            self.disturbed = self.record.now()
            self.record.log("signal", name=self.name, signal=signal.Signals(number).name)
            self.process.send_signal(number)

    def in_touch(self, contact_s: float = CONTACT_S) -> bool:
        """Whether its process ran undisturbed for `contact-ms`."""
        since = max(self.started, self.disturbed)
        alive = self.process is not None and self.process.returncode is None
        return alive and self.record.now() - since >= contact_s

    async def is_ready(self) -> bool:
        answer = await call(self.ready, "GET", "/ready", {}, b"", 1.0)
        return answer.status == 200

    async def close(self) -> None:
        self._wanted = False
        if self._task is not None:
            self._task.cancel()
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
            await self.process.wait()


class Answer:
    """What a consumer saw."""

    def __init__(self) -> None:
        self.status = 0  # 0: the channel ended or nothing came before a whole header
        self.headers: dict[str, str] = {}
        self.body = b""
        self.complete = False


async def call(
    port: int, method: str, target: str, headers: dict[str, str], body: bytes, timeout_s: float
) -> Answer:
    """Send a request on a new channel and read its answer."""
    answer = Answer()
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=1 << 20)
            lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST}"]
            if body or method == "POST":
                lines.append(f"Content-Length: {len(body)}")
            lines += [f"{name}: {value}" for name, value in headers.items()]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            head = await read_head(reader)
            if head is None:
                return answer
            answer.status, answer.headers = int(head[0].split(" ")[1]), head[1]
            answer.body = await read_body(reader, head[1])
            answer.complete = True
    except (TimeoutError, OSError, ValueError, asyncio.IncompleteReadError):
        pass
    finally:
        if writer is not None:
            writer.transport.abort()
    return answer


def config(version: int, routes: list[dict], services: list[str], engines: list[str]) -> bytes:
    """Build the operator's configuration, with the figures of the kopar-vakt sheet."""
    engine = {"slots": 64, "kv-capacity": 536382, "kv-bytes": 163840, "link-mbps": 1100000.0}
    document = {
        "version": version,
        "routes": routes,
        "services": [
            {"name": name, "health-path": "/health", "max-conns": 370, "protocol": "h1", "tls": False}
            | ({"engine": engine | {"models": [{"name": "m"}]}} if name in engines else {})
            for name in services
        ],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 4194304,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
        "tenants": [{"name": "hule930", "api-keys": [KEY], "priority": 1}],
    }
    return json.dumps(document).encode()


def route(name: str, prefix: str, kind: str, service: str, **more: object) -> dict:
    base = {"name": name, "host": HOST, "path-prefix": prefix, "kind": kind, "service": service}
    return base | {"priority": 2, "max-attempts": 1, "public": False} | more


LEDGER = route(
    "r-ledger", "/ledger/", "streaming", "tiller-pool",
    **{"timeout-ms": 10000, "goal-ms": 2000, "sticky": True, "resumable": False, "gap-target-ms": 800},
)  # fmt: skip
RESERVE = route(
    "r-reserve", "/reserve/", "non_idempotent", "lager-app", **{"timeout-ms": 2500, "goal-ms": 200}
)
LOOKUP = route(
    "r-lookup", "/lookup/", "idempotent", "lager-app",
    **{"timeout-ms": 2500, "goal-ms": 200, "max-attempts": 2},
)  # fmt: skip


class Site:
    """A small deployment: a store, engines and routers, and a temporary folder."""

    def __init__(self, case: Path) -> None:
        self.record = Record(case)
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store(self.record)
        self.engines: list[Engine] = []
        self.routers: list[Router] = []

    async def start_store(self) -> None:
        await self.store.start()

    def add_engines(self, service: str, count: int, prefix: str, handler) -> list[Engine]:
        added = []
        for number in range(count):
            zone = "vl-" + "abc"[number % 3]
            engine = Engine(self.store, self.record, f"{prefix}{number + 1}", service, zone)
            engine.on_request = handler
            added.append(engine)
        self.engines += added
        return added

    def add_routers(self, count: int) -> None:
        for number in range(count):
            zone = "vl-" + "aabc"[number % 4]
            self.routers.append(
                Router(self.record, self.folder, number + 1, zone, self.store.address)
            )

    async def start(self) -> None:
        await asyncio.gather(*(engine.start() for engine in self.engines if not engine.up))
        await asyncio.gather(*(router.start() for router in self.routers))

    async def wait_ready(self, timeout_s: float = 30.0) -> None:
        ends = time.monotonic() + timeout_s
        for router in self.routers:
            while not await router.is_ready():
                if time.monotonic() > ends:
                    raise CannotRun(f"{router.name} is not ready after {timeout_s} s")
                await asyncio.sleep(0.1)

    async def close(self) -> None:
        await asyncio.gather(*(router.close() for router in self.routers))
        for engine in self.engines:
            engine.close()
        await self.store.close()
        self.record.close()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs: {self.folder}", file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class CannotRun(Exception):
    """The case couldn't run."""


def run_case(main, trouble: bool) -> None:
    """Run `main(trouble)`, which returns whether the rule was kept, and exit as the issue asks."""
    try:
        kept = asyncio.run(main(trouble))
    except CannotRun as error:
        print(f"cannot run: {error}")
        sys.exit(2)
    except Exception as error:  # noqa: BLE001
        print(f"cannot run: {error!r}")
        sys.exit(2)
    sys.exit(0 if kept else 1)
