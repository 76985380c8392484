"""Tests of the clients for leases, transactions and the API of duties against a scripted server."""

from __future__ import annotations

import json
import socket
import struct
import tempfile
import unittest
from typing import Any

from aiohttp import web

import tests.platform_path  # noqa: F401
from boragetiller.errors import (
    DutyApiBusy,
    DutyApiUnavailable,
    HistoryLost,
    SettingsInvalid,
    StoreUnavailable,
)
from boragetiller.gateway.endpoint import Endpoint
from boragetiller.store_eras import extend_revision
from boragetiller.tables.duties import Duty, DutyKind, Holding, ServerOrder, UsageReport
from boragetiller.tables.store_view import StoredItem
from boragetiller.tables.store_writes import (
    CommitStatus,
    ExpectedRevision,
    KeyWrite,
    StoreLease,
    Transaction,
)
from boragetiller.verdict import Verdict
from duty_api import DutyApiClient, open_abortive_socket
from kv_store import KvStoreClient
from kv_writes import KvWriter
from node_settings import load_node_settings
from tests.platform_adapter.messages import SETTINGS

LEASE = StoreLease(lease_id=77_120, ttl_ms=3_000, era=2)
TRANSACTION = Transaction(
    era=2,
    expected=(ExpectedRevision("a", 0), ExpectedRevision("b", extend_revision(2, 7))),
    writes=(KeyWrite("a", b"node-1", 77_120),),
    removals=("c",),
)
HOLDING = Holding(
    duty=Duty(DutyKind.USAGE_REPORT),
    token=2 << 32 | 5,
    holder="router-1",
    valid_until_ms=0,
    era=2,
    condition=ExpectedRevision("b", 1),
)


class DutyClientsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.requests: list[tuple[str, str, Any, Any]] = []
        self.responses: list[tuple[int, Any, str]] = []
        runner = web.ServerRunner(web.Server(self.handle))
        await runner.setup()
        self.addAsyncCleanup(runner.cleanup)
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        endpoint = Endpoint("127.0.0.1", runner.addresses[0][1])
        client = KvStoreClient(endpoint)
        self.addAsyncCleanup(client.close)
        client.eras.observe("2")
        self.store = KvWriter(client)
        self.api = DutyApiClient(endpoint)
        self.addAsyncCleanup(self.api.close)

    async def handle(self, request: web.BaseRequest) -> web.Response:
        body = await request.read()
        document = json.loads(body) if body else None
        self.requests.append((request.method, request.path, document, request.headers))
        status, document, era = self.responses.pop(0)
        return web.Response(
            status=status, body=json.dumps(document), headers={"Store-Era": era} if era else {}
        )

    async def test_leases(self) -> None:
        self.responses = [
            (200, {"lease": 77_120, "ttl-ms": 3_000}, "2"),
            (200, {"ttl-ms": 2_000}, "2"),
            (404, {}, "2"),
            (200, {}, "2"),
        ]
        self.assertEqual(await self.store.grant_lease(3_000), LEASE)
        renewed = await self.store.renew_lease(LEASE)
        self.assertEqual(renewed, StoreLease(lease_id=77_120, ttl_ms=2_000, era=2))
        self.assertIsNone(await self.store.renew_lease(LEASE))
        await self.store.end_lease(LEASE)
        self.assertEqual(
            [request[:3] for request in self.requests],
            [
                ("POST", "/kv-lease", {"ttl-ms": 3_000}),
                ("POST", "/kv-keep/77120", None),
                ("POST", "/kv-keep/77120", None),
                ("DELETE", "/kv-lease-end/77120", None),
            ],
        )

    async def test_transactions(self) -> None:
        entry = {"key": "b", "value": "eA==", "revision": 9, "lease": 0}
        missing = {"key": "a", "revision": 0}
        self.responses = [
            (200, {"revision": 412}, "2"),
            (412, {"entries": [missing, entry]}, "2"),
            (404, {}, "2"),
        ]
        result = await self.store.commit(TRANSACTION)
        self.assertEqual(result.status, CommitStatus.COMMITTED)
        self.assertEqual(result.revision, extend_revision(2, 412))
        result = await self.store.commit(TRANSACTION)
        self.assertEqual(result.status, CommitStatus.CONFLICT)
        self.assertEqual(result.entries, (StoredItem("b", b"x", extend_revision(2, 9)),))
        result = await self.store.commit(TRANSACTION)
        self.assertEqual(result.status, CommitStatus.LEASE_ENDED)
        sent = {
            "expect-rev": [{"key": "a", "revision": 0}, {"key": "b", "revision": 7}],
            "writes": [{"key": "a", "value": "bm9kZS0x", "lease": 77_120}],
            "remove": ["c"],
        }
        self.assertEqual(self.requests[0][:3], ("POST", "/kv-txn", sent))

    async def test_only_status_503_means_that_a_transaction_was_not_executed(self) -> None:
        # Guards against an attempt that counts as failed and is executed later.
        for status, verdict in ((503, Verdict.NOT_RUN), (500, Verdict.MAY_HAVE_RUN)):
            self.responses = [(status, {}, "2")]
            with self.assertRaises(StoreUnavailable) as caught:
                await self.store.commit(TRANSACTION)
            self.assertIs(caught.exception.verdict, verdict)
        self.responses = [(200, {"revision": "x"}, "2")]
        with self.assertRaises(StoreUnavailable):
            await self.store.commit(TRANSACTION)

    async def test_answers_of_another_era_do_not_count(self) -> None:
        # Guards against a lease or revision that the restored store gave to another router.
        self.responses = [(200, {"revision": 412}, "3")]
        with self.assertRaises(HistoryLost):
            await self.store.commit(TRANSACTION)
        with self.assertRaises(HistoryLost):
            await self.store.renew_lease(LEASE)
        with self.assertRaises(HistoryLost):
            await self.store.commit(TRANSACTION)
        self.assertEqual(len(self.requests), 1)  # the others were not sent

    async def test_calls_of_the_api(self) -> None:
        self.responses = [(200, {}, ""), (200, {}, ""), (429, {}, ""), (500, {}, "")]
        await self.api.send_usage(UsageReport(window_no=3, counts={"a": 4}), HOLDING)
        order = ServerOrder(group="g", failure_domain="d", servers=6)
        await self.api.order_servers(order, HOLDING)
        with self.assertRaises(DutyApiBusy):
            await self.api.order_servers(order, HOLDING)
        with self.assertRaises(DutyApiUnavailable):
            await self.api.order_servers(order, HOLDING)
        usage = {"window-no": 3, "counts": {"a": 4}}
        self.assertEqual(self.requests[0][:3], ("POST", "/usage", usage))
        scale = {"service": "g", "zone": "d", "desired": 6}
        self.assertEqual(self.requests[1][:3], ("POST", "/scale", scale))
        self.assertEqual(self.requests[0][3]["X-Boragetiller-Duty-Holder"], "router-1")
        self.assertEqual(self.requests[0][3]["X-Boragetiller-Fencing-Token"], str(2 << 32 | 5))

    async def test_closed_socket_drops_unsent_calls(self) -> None:
        # Guards against a call that the kernel delivers after its timeout, with an old token.
        address = (socket.AF_INET, socket.SOCK_STREAM, 0, "", ("127.0.0.1", 1))
        with open_abortive_socket(address) as sock:
            linger = sock.getsockopt(socket.SOL_SOCKET, socket.SO_LINGER, 8)
            self.assertEqual(struct.unpack("ii", linger), (1, 0))


class DutySettingsTest(unittest.TestCase):
    def load(self, api: str, params: str = "") -> Any:
        text = SETTINGS.replace("[platform]", params + "[platform]") + api
        with tempfile.NamedTemporaryFile("w", suffix=".toml") as file:
            file.write(text)
            file.flush()
            return load_node_settings(file.name).duties

    def test_no_duties_without_the_table_or_with_an_empty_list(self) -> None:
        for api in ("", "[cloud-api]\n", "[cloud-api]\nduties = []\n"):
            self.assertIsNone(self.load(api))

    def test_duties_and_their_parameters(self) -> None:
        api = '[cloud-api]\naddress = "10.0.0.1:80"\nduties = ["autoscale", "x", "usage_report"]\n'
        duties = self.load(api)
        self.assertEqual(duties.kinds, (DutyKind.SERVER_COUNT, DutyKind.USAGE_REPORT))
        self.assertEqual((duties.unknown_kinds, duties.lease_ms), (("'x'",), 3_000))
        duties = self.load(api + "duty-per-s = 7.5\n", "lease-ms = 400\nusage-late-s = 20\n")
        self.assertEqual((duties.calls_per_s, duties.usage_late_ms), (7.5, 20_000))
        self.assertEqual(duties.lease_ms, 1_000)  # the shortest that the store allows
        with self.assertRaises(SettingsInvalid):  # 0 ms, by which true time would be divided
            self.load(api, "report-window-s = 0.0009\n")
        for wrong in ('duties = "usage_report"', 'duties = ["usage_report"]'):
            with self.assertRaises(SettingsInvalid):  # no list, no address
                self.load("[cloud-api]\n" + wrong)


if __name__ == "__main__":
    unittest.main()
