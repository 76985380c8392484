"""Stand-in engine with an OpenAI-compatible HTTP interface."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING, Any

import aiohttp
import fire
from aiohttp import web

from boragetiller.clock import SystemClock
from boragetiller.standin.engine_control_api import EngineControlApi, build_error_response
from boragetiller.standin.engine_orders import EngineState, OrderExecutor
from boragetiller.standin.engine_responses import DONE_EVENT, CompletionFormat
from boragetiller.standin.engine_settings import EngineSettings, Ledger
from boragetiller.standin.engine_simulation import (
    EngineSimulation,
    EngineSimulationSettings,
    Sequence,
)
from boragetiller.standin.engine_text import (
    choose_output_tokens,
    compute_body_digest,
    count_prompt_tokens,
    extract_prompt,
    generate_token,
)
from boragetiller.standin.web_server import (
    ListenAddress,
    WebServer,
    reset_connection,
    serve_until_signal,
)
from boragetiller.timeouts import wait_with_timeout

if TYPE_CHECKING:
    from boragetiller.clock import Clock

MAX_BODY_BYTES = 8_000_000


class _EngineCrash(Exception):
    """Ends the simulation as if the engine's process had crashed."""


class EngineServer:
    """HTTP server of one engine; tests may read `ledger` and `state` directly."""

    def __init__(self, settings: EngineSettings, clock: Clock | None = None) -> None:
        """
        Create the engine without listening.

        :param settings: speed, limits and behaviour
        :param clock: time of load samples and cache events, the system's clock by default
        """
        self.ledger = Ledger()
        self.state = EngineState(models=list(settings.models))
        self.simulation = EngineSimulation(
            settings.simulation, clock or SystemClock(), self._record_start
        )
        self.settings = settings
        self.refusals_after_run: list[int] = []  # statuses of responses to requests that run
        self.sequences: dict[str, Sequence] = {}
        self._body_digests: dict[Sequence, str] = {}
        self.order_executor = OrderExecutor(
            self.state,
            settings.load_ms,
            honours_fencing=settings.honours_fencing,
            fetch_weights=self._fetch_weights if settings.weight_store_url else None,
        )
        self._restart_event = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        self._web = WebServer(self._build_app(), settings.listen)

    @property
    def url(self) -> str:
        """:return: base URL"""
        return self._web.url

    async def start(self) -> None:
        """Start serving."""
        await self._web.start()
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop serving and reset all open connections."""
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task
        self._web.reset_connections()
        await self._web.close()

    def crash(self) -> None:
        """Crash now, as a prompt with the poison marker does."""
        self.simulation.stop_with_error(_EngineCrash())

    def finish_restart(self) -> None:
        """End the restart after a crash now instead of after `restart_ms`."""
        self._restart_event.set()

    async def _run(self) -> None:
        while True:
            with contextlib.suppress(_EngineCrash):
                await self.simulation.run()
            await self._crash()

    async def _crash(self) -> None:
        self.ledger.crashes += 1
        for sequence in self.sequences.values():
            sequence.cancelled = True
        await self._web.stop_listening()
        self.simulation.clear()
        self.state.models = list(self.settings.models)
        self.state.adapters = []
        self._restart_event.clear()
        with contextlib.suppress(TimeoutError):
            await wait_with_timeout(self.settings.restart_ms / 1_000, self._restart_event.wait())
        await self._web.start_listening()

    def _record_start(self, sequence: Sequence) -> None:
        self.ledger.by_request_id[sequence.request_id] += 1
        self.ledger.by_body[self._body_digests[sequence]] += 1
        if self.settings.poison_marker in sequence.prompt:
            raise _EngineCrash

    def _build_app(self) -> web.Application:
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        app.add_routes(
            [
                web.post("/v1/chat/completions", self._handle_completion),
                web.post("/v1/completions", self._handle_completion),
                *EngineControlApi(self).build_routes(),
            ]
        )
        return app

    async def _handle_completion(self, request: web.Request) -> web.StreamResponse:
        try:
            body = await request.json()
            sequence = self._build_sequence(request, body)
        except (ValueError, TypeError, KeyError, AttributeError) as error:
            return build_error_response(400, str(error))
        if self.state.models and body.get("model") not in self.state.models:
            return build_error_response(404, f"model {body.get('model')} is not loaded")
        completion_format = CompletionFormat(
            request_id=sequence.request_id,
            model=str(body.get("model")),
            is_chat=request.path.endswith("/chat/completions"),
            finish_reason="length" if "max_tokens" in body else "stop",
            prompt_tokens=sequence.prompt_tokens,
        )
        self.sequences[sequence.request_id] = sequence
        self._body_digests[sequence] = compute_body_digest(body)
        self.simulation.submit(sequence)
        try:
            if self.refusals_after_run:
                status = self.refusals_after_run.pop(0)
                await sequence.tokens.get()
                return build_error_response(status, "busy")
            if body.get("stream"):
                return await self._stream_response(request, body, sequence, completion_format)
            return await self._send_response(sequence, completion_format)
        except ConnectionResetError:
            return build_error_response(499, "the caller disconnected")
        finally:
            self._finish(sequence)

    def _build_sequence(self, request: web.Request, body: dict[str, Any]) -> Sequence:
        prompt = extract_prompt(body)
        sequence = Sequence(
            request_id=request.headers.get("X-Request-Id", f"engine-{id(request)}"),
            prompt=prompt,
            prompt_tokens=count_prompt_tokens(prompt),
            total_tokens=choose_output_tokens(body),
            priority=int(body.get("priority", 0)),
        )
        if (resume := body.get("resume_from")) is not None:
            sequence.next_index = self._validate_resume(prompt, resume)
            sequence.total_tokens = max(sequence.total_tokens, sequence.next_index)
        return sequence

    def _validate_resume(self, prompt: str, resume: dict[str, Any]) -> int:
        tokens = int(resume["tokens"])
        text = "".join(generate_token(prompt, index) for index in range(tokens))
        if resume.get("text", text) != text:
            self.ledger.bad_resumes += 1
            raise ValueError("resume_from.text differs from the generated text")
        return tokens

    async def _send_response(
        self, sequence: Sequence, completion_format: CompletionFormat
    ) -> web.Response:
        parts: list[str] = []
        first_index = sequence.next_index
        while first_index < sequence.total_tokens and (part := await sequence.tokens.get()):
            parts.append(part)
        if sequence.cancelled:
            return build_error_response(499, "cancelled")
        return web.json_response(
            completion_format.build_response("".join(parts), sequence.next_index)
        )

    async def _stream_response(
        self,
        request: web.Request,
        body: dict[str, Any],
        sequence: Sequence,
        completion_format: CompletionFormat,
    ) -> web.StreamResponse:
        response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
        index = sequence.next_index
        await response.prepare(request)
        while index < sequence.total_tokens and (part := await sequence.tokens.get()):
            await response.write(completion_format.build_chunk(part, is_first=index == 0))
            index += 1
        if sequence.cancelled:
            reset_connection(request.transport)
            return response
        await response.write(completion_format.build_final_chunk())
        if (body.get("stream_options") or {}).get("include_usage"):
            await response.write(completion_format.build_usage_chunk(sequence.total_tokens))
        await response.write(DONE_EVENT)
        return response

    def _finish(self, sequence: Sequence) -> None:
        if sequence.next_index < sequence.total_tokens and not sequence.cancelled:
            sequence.cancelled = True
            self.ledger.cancelled += 1
        self._body_digests.pop(sequence, None)
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
    Run a stand-in engine as a process until SIGINT or SIGTERM.

    :param port: port to listen on; 0 picks a free one; the base URL is printed
    :param address: IP address to listen on
    :param models: names of the loaded models, separated by commas
    :param max_batch: maximum number of responses generated concurrently
    :param step_ms: duration of a decoding step in milliseconds
    :param restart_ms: time between a crash and listening again, in milliseconds
    :param honours_fencing: whether an order with an old fencing token is refused
    :param order_key: bearer key that orders must carry; none is required by default
    """
    settings = EngineSettings(
        listen=ListenAddress(address=address, port=port),
        models=tuple(models.split(",")) if isinstance(models, str) else tuple(models),
        simulation=EngineSimulationSettings(max_batch=max_batch, step_ms=step_ms),
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
