"""Tests of the agent's client of its backend server."""

from __future__ import annotations

import unittest

import attrs

from boragetiller.agent.backend import BackendClient
from boragetiller.agent_protocol.attempt import Attempt
from boragetiller.errors import BackendCrashed, BackendLost, BoragetillerError
from boragetiller.settings import BackendKind, BackendSettings
from tests.faulty_server import Fault, FaultyServer

_DEFAULTS = {"str": "", "int": 0, "float": 1.0, "bool": False}


def build_attempt() -> Attempt:
    required = [field for field in attrs.fields(Attempt) if field.default is attrs.NOTHING]
    values = {field.name: _DEFAULTS[str(field.type)] for field in required}
    return Attempt(**{**values, "request_id": "r-1", "method": "POST", "path": "/x"})


class LostConnectionTest(unittest.IsolatedAsyncioTestCase):
    """Classification of a lost connection as a crash or a reset."""

    async def test_lost_connection_to_listening_engine_is_a_crash(self) -> None:
        error = await self._send_to_faulty_server(BackendKind.ENGINE, still_listens=True)
        self.assertIs(type(error), BackendCrashed)

    async def test_reset_by_listening_service_is_no_crash(self) -> None:
        error = await self._send_to_faulty_server(BackendKind.SERVICE, still_listens=True)
        self.assertIs(type(error), BackendLost)

    async def test_lost_connection_to_service_that_refuses_connections_is_a_crash(self) -> None:
        error = await self._send_to_faulty_server(BackendKind.SERVICE, still_listens=False)
        self.assertIs(type(error), BackendCrashed)

    async def _send_to_faulty_server(
        self, kind: BackendKind, *, still_listens: bool
    ) -> BoragetillerError:
        fault = Fault.RESET_BEFORE_FIRST_BYTE if still_listens else Fault.SILENT
        server = FaultyServer(fault)
        server.on_request = None if still_listens else server.close
        await server.start()
        client = BackendClient(BackendSettings(name="s", group="g", kind=kind, url=server.url))
        await client.start()
        try:
            with self.assertRaises(BoragetillerError) as caught:
                async with client.send(build_attempt(), b"{}"):
                    pass
        finally:
            await client.close()
            if still_listens:
                await server.close()
        return caught.exception


if __name__ == "__main__":
    unittest.main()
