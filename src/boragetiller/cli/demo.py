"""The command `boragetiller demo`, which runs small versions of both users' deployments."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
from importlib import resources

from boragetiller.cli.exit_codes import ExitCode
from boragetiller.errors import BoragetillerError
from boragetiller.events import configure_logging
from boragetiller.standin.demo import CUSTOMER_KEYS, OPERATOR_KEY, Demo, DemoSettings

_TEXT = """\
boragetiller demo: two routers, eight agents, stand-in engines and plain services

  routers         {first} and {second}
  operator ports  {first_operator} and {second_operator} (key {operator_key})
  platform        {store}
  customers       kopar-vakt (key {kopar}) and kalisz-dzial-deszczowki (key {kalisz})
  records         {records}

A streamed and a complete response:

  curl -N {first}/v1/chat/completions -H 'Authorization: Bearer {kopar}' \\
    -H 'Content-Type: application/json' \\
    -d '{quote}'
  curl {second}/v1/chat/completions -H 'Authorization: Bearer {kalisz}' \\
    -H 'Content-Type: application/json' \\
    -d '{grant}'

A reservation; a repetition with the same key, through either router, does not run it again:

  curl {first}/services/lager-app/reservations -H 'Authorization: Bearer {kopar}' \\
    -H 'X-Request-Class: reservation' -H 'Idempotency-Key: sheet-17' -d '{{"sheet": 17}}'

The records, and a change of them:

  boragetiller list --store-url {store}
  boragetiller get class/yard-note --store-url {store} > yard-note.yaml
  boragetiller apply yard-note.yaml --store-url {store} --office hvalfjordur

Ctrl-C stops gracefully.
"""


async def demo(port: int = DemoSettings().port) -> ExitCode:
    """
    Run the demo until SIGINT or SIGTERM; a second signal stops it without waiting.

    :param port: first of five consecutive ports: store, then the caller and operator ports of
        each router; 0 selects free ports
    :return: exit code
    """
    configure_logging("WARNING")
    running = Demo(DemoSettings(port=port))
    signals = _SignalCounter()
    try:
        await running.start()
    except (OSError, TimeoutError, BoragetillerError) as error:
        print(f"boragetiller: the demo could not start: {error}", file=sys.stderr)
        await running.close()
        return ExitCode.FAILED
    print(describe_demo(running), flush=True)
    await signals.first.wait()
    closing = asyncio.create_task(running.close())
    forced = asyncio.create_task(signals.second.wait())
    await asyncio.wait({closing, forced}, return_when=asyncio.FIRST_COMPLETED)
    if not closing.done():
        closing.cancel()
        return ExitCode.FAILED
    forced.cancel()
    await closing
    return ExitCode.DONE


def describe_demo(running: Demo) -> str:
    """
    Describe how to use a running demo.

    :param running: the demo
    :return: text with ports, keys and example commands
    """
    first, second = running.routers
    return _TEXT.format(
        first=first.caller_listener.base_url,
        second=second.caller_listener.base_url,
        first_operator=first.operator.base_url,
        second_operator=second.operator.base_url,
        operator_key=OPERATOR_KEY,
        store=running.platform.url,
        kopar=CUSTOMER_KEYS["kopar-vakt"],
        kalisz=CUSTOMER_KEYS["kalisz-dzial-deszczowki"],
        quote=_build_chat_body("kopar-1", "Is 0.7 mm in stock?", stream=True),
        grant=_build_chat_body("doradca-1", "Is there a grant for a tank?"),
        records=resources.files("boragetiller.standin").joinpath("records/demo.yaml"),
    )


def _build_chat_body(model: str, content: str, **more: object) -> str:
    return json.dumps({"model": model, "messages": [{"role": "user", "content": content}], **more})


class _SignalCounter:
    def __init__(self) -> None:
        self.first = asyncio.Event()
        self.second = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGINT, signal.SIGTERM):
            loop.add_signal_handler(number, self._count)

    def _count(self) -> None:
        (self.second if self.first.is_set() else self.first).set()


__all__ = ["demo", "describe_demo"]
