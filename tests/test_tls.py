"""Tests of TLS to callers and between router and agent."""

from __future__ import annotations

import ssl
import tempfile
import unittest
from pathlib import Path

import aiohttp

from boragetiller.errors import SettingsInvalid
from boragetiller.settings import ListenSettings, TlsSettings
from boragetiller.standin.engine import EngineServer, EngineSettings
from boragetiller.standin.engine_simulation import EngineSimulationSettings
from boragetiller.standin.engine_text import build_expected_text
from boragetiller.tls import build_client_tls_context, build_server_tls_context
from tests.fleet import KEY, MODEL, Fleet, build_sample_records

CERTIFICATES = Path(__file__).parents[0] / "tls"
BODY = {"model": MODEL, "max_tokens": 3, "messages": [{"role": "user", "content": "gauge?"}]}


def _build_tls_settings(certificate: str = "host", key: str = "host") -> TlsSettings:
    return TlsSettings(
        certificate=str(CERTIFICATES / f"{certificate}.pem"),
        key=str(CERTIFICATES / f"{key}.key"),
        authority=str(CERTIFICATES / "authority.pem"),
    )


class TlsFilesTest(unittest.TestCase):
    """Settings with missing files or files that are not PEM."""

    def test_invalid_files_raise_settings_errors(self) -> None:
        with tempfile.TemporaryDirectory() as directory:
            text = Path(directory) / "text.pem"
            text.write_text("no certificate")
            for name in (str(text), str(Path(directory) / "missing.pem"), directory):
                tls = TlsSettings(certificate=name, key=name, authority=name)
                for build in (build_server_tls_context, build_client_tls_context):
                    with self.assertRaisesRegex(SettingsInvalid, name):
                        build(tls)


class TlsEndToEndTest(unittest.IsolatedAsyncioTestCase):
    """Completions from a caller through a router and an agent to an engine."""

    async def asyncSetUp(self) -> None:
        self.engine = EngineServer(
            EngineSettings(models=(MODEL,), simulation=EngineSimulationSettings(step_ms=0.2))
        )
        await self.engine.start()
        self.addAsyncCleanup(self.engine.close)
        self.fleet = Fleet()
        await self.fleet.start()
        self.addAsyncCleanup(self.fleet.close)

    async def _send_completion(
        self, router_tls: TlsSettings, agent_tls: TlsSettings
    ) -> tuple[int, str]:
        await self.fleet.add_agent("pool-1", "pool", self.engine.url, peer_tls=agent_tls)
        listen = ListenSettings(
            tls=TlsSettings(
                certificate=_build_tls_settings().certificate, key=_build_tls_settings().key
            )
        )
        await self.fleet.apply(build_sample_records(("pool-1",), ()))
        router = await self.fleet.add_router("r-1", peer_tls=router_tls, listen=listen)
        context = ssl.create_default_context(cafile=_build_tls_settings().authority)
        url = router.caller_listener.base_url + "/v1/chat/completions"
        headers = {"Authorization": f"Bearer {KEY}"}
        async with (
            aiohttp.ClientSession(headers=headers) as session,
            session.post(url, json=BODY, ssl=context) as response,
        ):
            self.assertTrue(url.startswith("https://"))
            return response.status, await response.text()

    async def test_completion_over_tls(self) -> None:
        status, text = await self._send_completion(_build_tls_settings(), _build_tls_settings())
        self.assertEqual(status, 200)
        self.assertIn(build_expected_text(BODY), text)

    async def test_router_with_untrusted_certificate_is_refused(self) -> None:
        status, _ = await self._send_completion(
            _build_tls_settings("stranger", "stranger"), _build_tls_settings()
        )
        self.assertGreaterEqual(status, 500)
        self.assertEqual(self.engine.ledger.by_body, {})

    async def test_agent_with_certificate_for_another_address_is_refused(self) -> None:
        status, text = await self._send_completion(
            _build_tls_settings(), _build_tls_settings("elsewhere")
        )
        self.assertGreaterEqual(status, 500)
        self.assertIn("not_run", text)
        self.assertEqual(self.engine.ledger.by_body, {})

    async def test_plain_http_to_an_agent_is_refused(self) -> None:
        agent = await self.fleet.add_agent(
            "pool-1", "pool", self.engine.url, peer_tls=_build_tls_settings()
        )
        async with aiohttp.ClientSession() as session:
            with self.assertRaises(aiohttp.ClientError):
                await session.post(f"http://127.0.0.1:{agent.data.port}/attempt")


if __name__ == "__main__":
    unittest.main()
