"""A stand-in engine with an OpenAI-compatible HTTP interface."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING, Any

import aiohttp
import fire
from aiohttp import web

from boragetiller.clock import SystemClock
from boragetiller.standin.engine_control_api import EngineControlApi, build_error_response
from boragetiller.standin.engine_orders import EngineState, OrderDesk
from boragetiller.standin.engine_responses import DONE_EVENT, CompletionFormat
from boragetiller.standin.engine_settings import EngineSettings, Ledger
from boragetiller.standin.engine_simulation import (
    EngineSimulation,
    EngineSimulationSettings,
    Sequence,
)
from boragetiller.standin.engine_text import (
    answer_tokens,
    body_digest,
    prompt_of,
    prompt_tokens,
    token_text,
)
from boragetiller.standin.web_server import Address, WebServer, reset, serve_until_signal
from boragetiller.timeouts import wait_with_timeout

if TYPE_CHECKING:
    from boragetiller.clock import Clock

MAX_BODY_BYTES = 8_000_000


class _Poisoned(Exception):
    """A prompt crashes the engine."""


class EngineServer:
    """One engine; tests may read `ledger` and `state` directly."""

    def __init__(self, settings: EngineSettings, clock: Clock | None = None) -> None:
        """
        Prepare the engine.

        :param settings: speed, limits and habits
        :param clock: time of load reports and cache events
        """
        self.ledger = Ledger()
        self.state = EngineState(models=list(settings.models))
        self.model = EngineSimulation(settings.model, clock or SystemClock(), self._on_start)
        self.settings = settings
        self.sequences: dict[str, Sequence] = {}
        self._bodies: dict[Sequence, str] = {}
        self.desk = OrderDesk(
            self.state,
            settings.load_ms,
            honours_fencing=settings.honours_fencing,
            fetch_weights=self._fetch_weights if settings.weight_store_url else None,
        )
        self._restart = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        self._web = WebServer(self._build_app(), settings.listen)

    @property
    def url(self) -> str:
        """:return: base URL"""
        return self._web.url

    async def start(self) -> None:
        """Begin to serve."""
        await self._web.start()
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop serving; answers in progress are cut off."""
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task
        self._web.reset_connections()
        await self._web.close()

    def crash(self) -> None:
        """Crash now, as a poisoned prompt would do."""
        self.model.fail(_Poisoned())

    def end_restart(self) -> None:
        """Come back from a crash now."""
        self._restart.set()

    async def _run(self) -> None:
        while True:
            with contextlib.suppress(_Poisoned):
                await self.model.run()
            await self._crash()

    async def _crash(self) -> None:
        self.ledger.crashes += 1
        for sequence in self.sequences.values():
            sequence.cancelled = True
        await self._web.go_down()
        self.model.drop_all()
        self.state.models = list(self.settings.models)
        self.state.adapters = []
        self._restart.clear()
        with contextlib.suppress(TimeoutError):
            await wait_with_timeout(self.settings.restart_ms / 1_000, self._restart.wait())
        await self._web.come_up()

    def _on_start(self, sequence: Sequence) -> None:
        self.ledger.by_request_id[sequence.request_id] += 1
        self.ledger.by_body[self._bodies[sequence]] += 1
        if self.settings.poison_marker in sequence.prompt:
            raise _Poisoned

    def _build_app(self) -> web.Application:
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        app.add_routes(
            [
                web.post("/v1/chat/completions", self._complete),
                web.post("/v1/completions", self._complete),
                *EngineControlApi(self).build_routes(),
            ]
        )
        return app

    async def _complete(self, request: web.Request) -> web.StreamResponse:
        try:
            body = await request.json()
            sequence = self._build_sequence(request, body)
        except (ValueError, TypeError, KeyError, AttributeError) as error:
            return build_error_response(400, str(error))
        if self.state.models and body.get("model") not in self.state.models:
            return build_error_response(404, f"model {body.get('model')} is not loaded")
        answer = CompletionFormat(
            request_id=sequence.request_id,
            model=str(body.get("model")),
            chat=request.path.endswith("/chat/completions"),
            finish_reason="length" if "max_tokens" in body else "stop",
            prompt_tokens=sequence.prompt_tokens,
        )
        self.sequences[sequence.request_id] = sequence
        self._bodies[sequence] = body_digest(body)
        self.model.submit(sequence)
        try:
            if body.get("stream"):
                return await self._stream(request, body, sequence, answer)
            return await self._answer_whole(sequence, answer)
        except ConnectionResetError:
            return build_error_response(499, "the caller left")
        finally:
            self._end(sequence)

    def _build_sequence(self, request: web.Request, body: dict[str, Any]) -> Sequence:
        prompt = prompt_of(body)
        sequence = Sequence(
            request_id=request.headers.get("X-Request-Id", f"engine-{id(request)}"),
            prompt=prompt,
            prompt_tokens=prompt_tokens(prompt),
            total_tokens=answer_tokens(body),
            priority=int(body.get("priority", 0)),
        )
        if (resume := body.get("resume_from")) is not None:
            sequence.next_index = self._check_resume(prompt, resume)
            sequence.total_tokens = max(sequence.total_tokens, sequence.next_index)
        return sequence

    def _check_resume(self, prompt: str, resume: dict[str, Any]) -> int:
        tokens = int(resume["tokens"])
        text = "".join(token_text(prompt, index) for index in range(tokens))
        if resume.get("text", text) != text:
            self.ledger.bad_resumes += 1
            raise ValueError("resume_from.text is not what was generated")
        return tokens

    async def _answer_whole(self, sequence: Sequence, answer: CompletionFormat) -> web.Response:
        parts: list[str] = []
        first_index = sequence.next_index
        while first_index < sequence.total_tokens and (part := await sequence.tokens.get()):
            parts.append(part)
        if sequence.cancelled:
            return build_error_response(499, "cancelled")
        return web.json_response(answer.build_response("".join(parts), sequence.next_index))

    async def _stream(
        self,
        request: web.Request,
        body: dict[str, Any],
        sequence: Sequence,
        answer: CompletionFormat,
    ) -> web.StreamResponse:
        response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
        index = sequence.next_index
        await response.prepare(request)
        while index < sequence.total_tokens and (part := await sequence.tokens.get()):
            await response.write(answer.build_chunk(part, first=index == 0))
            index += 1
        if sequence.cancelled:
            reset(request.transport)
            return response
        await response.write(answer.build_final_chunk())
        if (body.get("stream_options") or {}).get("include_usage"):
            await response.write(answer.build_usage_chunk(sequence.total_tokens))
        await response.write(DONE_EVENT)
        return response

    def _end(self, sequence: Sequence) -> None:
        if sequence.next_index < sequence.total_tokens and not sequence.cancelled:
            sequence.cancelled = True
            self.ledger.cancelled += 1
        self._bodies.pop(sequence, None)
        if self.sequences.get(sequence.request_id) is sequence:
            del self.sequences[sequence.request_id]

    async def _fetch_weights(self) -> None:
        url = self.settings.weight_store_url
        async with aiohttp.ClientSession() as session:
            await session.post(f"{url}/weights/begin")
            await asyncio.sleep(self.settings.load_ms / 1_000)
            await session.post(f"{url}/weights/end")


def main(
    *,
    port: int = 0,
    address: str = "127.0.0.1",
    models: str = "kopar-1",
    max_batch: int = 8,
    step_ms: float = 5.0,
    restart_ms: int = 1_000,
    honours_fencing: bool = True,
    order_key: str | None = None,
) -> None:
    """
    Run a stand-in engine as a process.

    :param port: where to listen; 0 takes a free port, which is printed
    :param address: IP number to listen on
    :param models: names of the models, with commas between them
    :param max_batch: answers generated at once
    :param step_ms: time of one decoding step
    :param restart_ms: time that a crash takes
    :param honours_fencing: whether an order with an old number is refused
    :param order_key: bearer key that orders must carry
    """
    settings = EngineSettings(
        listen=Address(address=address, port=port),
        models=tuple(models.split(",")) if isinstance(models, str) else tuple(models),
        model=EngineSimulationSettings(max_batch=max_batch, step_ms=step_ms),
        restart_ms=restart_ms,
        honours_fencing=honours_fencing,
        order_key=None if order_key is None else str(order_key),
    )
    asyncio.run(_run(settings))


async def _run(settings: EngineSettings) -> None:
    await serve_until_signal(EngineServer(settings))


if __name__ == "__main__":
    fire.Fire(main)

__all__ = ["EngineServer", "EngineSettings", "Ledger", "main"]
