"""The sessions that have golden files."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Any

import yaml

from boragetiller.settings import AdmissionSettings
from tests.fleet import build_sample_records
from tests.golden.session import CHAT, SLOW_STEP_MS, Session, chat

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

    from boragetiller.router.process import RouterProcess

SHARDS_PER_GROUP = 16  # default of the settings


async def streamed_answer() -> str:
    """:return: transcript of a streamed and a complete response"""
    async with _open_session("A streamed and a whole answer") as session:
        await session.fleet.apply(build_sample_records(("engine-0",), ()))
        await session.add_engine("engine-0")
        router = await session.add_router("router-0")
        body = chat("gauge of a 2 m sheet?", max_tokens=4)
        await session.send(router, CHAT, {**body, "stream": True})
        await session.send(router, CHAT, body)
    return session.text()


async def engine_crash() -> str:
    """:return: transcript of a stream that another engine resumes after a crash"""
    async with _open_session("An engine crashes in mid-stream; another one resumes") as session:
        await session.fleet.apply(build_sample_records(("engine-0", "engine-1"), ()))
        engines = [await session.add_engine(name, step_ms=100) for name in ("engine-0", "engine-1")]
        router = await session.add_router("router-0")
        body = chat("price of an offcut?", max_tokens=6, stream=True)
        async with session.call(router, CHAT, body) as call:
            await call.read_first_event()
            running = next(engine for engine in engines if engine.ledger.by_request_id)
            session.add_line("fault", "the engine crashes after its first token")
            running.crash()
        runs = {name: engine.ledger.by_request_id for name, engine in session.engines.items()}
        session.add_line(
            "ledger", f"runs={ {name: sum(run.values()) for name, run in runs.items()} }"
        )
    return session.text()


async def refused_burst() -> str:
    """:return: transcript of a burst that exceeds the queue of an agent"""
    async with _open_session("A burst beyond the bound of the queue is refused") as session:
        bounds = AdmissionSettings(
            min_running=1, initial_running=1, max_running=1, max_queued=1, max_classes=1
        )
        await session.fleet.apply(build_sample_records(("engine-0",), ()))
        await session.add_engine("engine-0", step_ms=SLOW_STEP_MS, admission=bounds)
        router = await session.add_router("router-0")
        agent = session.fleet.agents["engine-0"]
        held = chat("a long note", max_tokens=6, stream=True)
        async with session.call(router, CHAT, held, X_Request_Class="note") as call:
            await call.read_first_event()
            queued = []
            for number in (2, 3):
                body = chat(f"note {number}", max_tokens=1)
                queued.append(asyncio.create_task(_send_unrecorded(session, router, body)))
                await session.wait_until(lambda n=number: agent.server.in_progress == n)
            session.add_line("state", "one note runs at engine-0 and two wait")
            await session.send(router, CHAT, chat("note 4"), X_Request_Class="note")
            await asyncio.gather(*queued)
    return session.text()


async def repeated_reservation() -> str:
    """:return: transcript of a keyed request that is sent through two routers"""
    async with _open_session("A reservation is sent twice through two routers") as session:
        await session.fleet.apply(build_sample_records((), ("app-0",)))
        service = await session.add_service("app-0")
        first = await session.add_router("router-0")
        second = await session.add_router("router-1", seed=8)
        claims = session.fleet.agents["app-0"].claims
        await session.wait_until(lambda: len(claims.owned_shards()) == SHARDS_PER_GROUP)
        for router in (first, second):
            await session.wait_until(lambda r=router: _has_owner(r, "sheet-17"))
        path = "/services/app/reserve"
        for router in (first, second):
            await session.send(router, path, {"sheet": 17}, Idempotency_Key="sheet-17")
        await session.send(second, path, {"sheet": 18}, Idempotency_Key="sheet-17")
        session.add_line("ledger", f"app-0 runs={dict(service.ledger.by_key)}")
    return session.text()


async def config_change() -> str:
    """:return: transcript of a customer that loses a class while its request runs"""
    async with _open_session("A record changes in mid-traffic") as session:
        records = build_sample_records(("engine-0",), ())
        await session.fleet.apply(records)
        await session.add_engine("engine-0", step_ms=SLOW_STEP_MS)
        router = await session.add_router("router-0")
        body = chat("a short note", max_tokens=4, stream=True)
        async with session.call(router, CHAT, body, X_Request_Class="note") as call:
            await call.read_first_event()
            without_note = _find_document(records, "acme").replace("- note\n", "")
            await session.change(
                without_note, lambda config: "note" not in config.customers["acme"].classes
            )
            session.add_line("change", "customer acme loses class note; in force everywhere")
            await session.send(router, CHAT, body, X_Request_Class="note")
    return session.text()


async def drain() -> str:
    """:return: transcript of an agent and then a router that stop while a request runs"""
    async with _open_session("An agent and a router stop gracefully") as session:
        await session.fleet.apply(build_sample_records(("engine-0",), ()))
        await session.add_engine("engine-0", step_ms=SLOW_STEP_MS)
        router = await session.add_router("router-0")
        body = chat("the rest of the ledger", max_tokens=6, stream=True)
        async with session.call(router, CHAT, body) as call:
            await call.read_first_event()
            session.add_line("stop", "engine-0's agent begins to stop")
            agent = session.fleet.agents["engine-0"]
            stopping = asyncio.create_task(agent.close())
            await session.wait_until(lambda: not router.agents.entries["engine-0"].accepts_work())
            await session.send(router, CHAT, chat("too late for this agent"))
            session.add_line("stop", "router-0 begins to stop")
            closing = asyncio.create_task(router.close())
            await session.wait_until(lambda: router.server.refusing)
            await session.send(router, CHAT, chat("too late for this router"))
        await asyncio.gather(stopping, closing)
        session.fleet.agents.clear()
        session.fleet.routers.clear()
    return session.text()


async def _send_unrecorded(session: Session, router: RouterProcess, body: dict[str, Any]) -> None:
    async with session.fleet.post(router, CHAT, body, X_Request_Class="note") as response:
        await response.read()


def _has_owner(router: RouterProcess, key: str) -> bool:
    return router.shard_owners.get_owner("app", SHARDS_PER_GROUP, "acme", key) == "app-0"


def _find_document(records: str, name: str) -> str:
    documents = list(yaml.safe_load_all(records))
    return yaml.safe_dump(next(document for document in documents if document["name"] == name))


@asynccontextmanager
async def _open_session(title: str) -> AsyncIterator[Session]:
    session = Session(title)
    await session.start()
    try:
        yield session
    finally:
        await session.close()


SESSIONS: dict[str, Callable[[], Awaitable[str]]] = {
    "streamed_answer": streamed_answer,
    "engine_crash": engine_crash,
    "refused_burst": refused_burst,
    "repeated_reservation": repeated_reservation,
    "config_change": config_change,
    "drain": drain,
}

__all__ = ["SESSIONS"]
