"""One odd row in a table of the store costs that row alone."""

from __future__ import annotations

import base64
import json
import time
from typing import Any
from urllib.parse import parse_qs, urlsplit

import anyio
import pytest

from ebonyhold.coordination import (
    AtVersion,
    BudgetRow,
    CrashRecords,
    Delete,
    GrantRow,
    Put,
    Row,
    Transaction,
    to_bytes,
    to_json,
)
from ebonyhold.exceptions import BudgetUnreachableError, ConflictError, DamagedRowError
from ebonyhold.forwarding import BackendTable, Outbound, WholeAnswer
from ebonyhold.gateway import GatewayPeers, Observations, Presence, Renewals, Watcher
from ebonyhold.gateway._relays import GatewayRelays, ReachAnswer, ReachQuestion
from ebonyhold.gateway._version_rows import VersionRows
from ebonyhold.platform import StoreClient
from ebonyhold.prepaid import (
    GrantManager,
    HolderTable,
    PrepaidRow,
    SpendingLimit,
    budget_row_key,
)
from ebonyhold.prepaid._reclaim import Predecessor, find_predecessor_grant
from ebonyhold.prepaid._row_cache import GrantRowCache
from ebonyhold.standins import RowHistory
from ebonyhold.types import Json
from tests.platform.test_store import answer, client
from tests.prepaid.kit import WORKSPACE, Router
from tests.prepaid.test_grant_manager import manager_of
from tests.virtual import anyio_backend

pytestmark = pytest.mark.anyio
__all__ = ["anyio_backend"]

UNREADABLE = {
    "empty": b"",
    "not JSON": b"{",
    "not UTF-8": b'{"router": "\xff"}',
    "nested": b"[" * 5_000,
    "nested in an object": b'{"crashes":' + b'{"losses":' * 2_000,
    "number of 5,000 digits": b'{"link_rate": ' + b"9" * 5_000 + b"}",
    "infinite number": b'{"link_rate": 1e999, "versions": 1e999, "crashes": 1e999}',
    "nested 900 deep": b"[" * 900 + b"]" * 900,
    "text": b'"x"',
    "null": b"null",
}
"""Values that no router writes, by what is odd."""

PAGE = 500
"""Maximum number of rows in an answer."""

unreadable = pytest.mark.parametrize("odd", UNREADABLE.values(), ids=[*UNREADABLE])


def store_with(rows: dict[str, bytes]) -> StoreClient:
    """Return a client of a store with some rows, by key."""

    def encode(key: str) -> dict[str, Any]:
        table, part, rest = key.split("/", 2)
        value = base64.b64encode(rows[key]).decode()
        place = {"table": table, "part": part, "key": rest}
        return {**place, "value": value, "version-number": 1}

    def handle(request: Outbound) -> WholeAnswer:
        target = urlsplit(request.target.decode())
        now = {"version-number": 2, "now-ms": 1000}
        if target.path.endswith("/rows-tx"):
            for item in json.loads(request.body)["writes"]:
                key = f"{item['table']}/{item['part']}/{item['key']}"
                rows[key] = base64.b64decode(item["value"])
            return answer(200, now)
        query = {name: values[0] for name, values in parse_qs(target.query).items()}
        prefix = f"{query['table']}/{query.get('part', '')}/"
        first, end = query.get("from", ""), query.get("target", "\x7f")
        found = [
            key
            for key in sorted(rows)
            if key.startswith(prefix) and first <= key[len(prefix) :] < end
        ]
        page = [encode(key) for key in found[:PAGE]]
        return answer(200, {**now, "rows": page, "truncated": len(found) > PAGE})

    return client(handle)


def observations(store: StoreClient) -> Observations:
    """Return the observations of a router."""
    peers = GatewayPeers(dict)
    return Observations(
        store, "vm-1", CrashRecords(), BackendTable(), lambda: 3, lambda: True, peers
    )


def loss(at: float) -> dict[str, Any]:
    """Return a lost request as a row states it."""
    return {"request": "x", "run": {"server": "i-1", "started_at": 1}, "at": at}


@unreadable
async def test_odd_observations_hide_no_others(odd: bytes) -> None:
    """The reader of observations ended at the same row each time it was restarted."""
    good = json.dumps({"crashes": {"losses": [loss(time.time())]}}).encode()
    store = store_with({"observations//vm-2": odd, "observations//vm-3": good})
    read = observations(store)
    await Watcher(store, "observations", read.merge_rows, read.merge_rows).step()
    assert read.crashes.depth("x") == 1


@unreadable
async def test_odd_versions_hide_no_others(odd: bytes) -> None:
    """After a row of versions that cannot be read, unknown streams were refused."""
    rows = {"versions//a": odd, "versions//svc": b'{"versions": ["v1"]}'}
    servers = BackendTable()
    servers.versions.is_complete = False
    await VersionRows(store_with(rows), "vm-1", lambda: (), servers).read()
    assert servers.versions.is_complete
    assert [*servers.versions.in_play("svc")] == ["v1"]


def row_of(name: str) -> bytes:
    """Return the presence row of a router."""
    return json.dumps({"router": f"{name}.a", "address": "127.0.0.1:1"}).encode()


@unreadable
async def test_odd_presence_row_hides_no_router(
    odd: bytes, caplog: pytest.LogCaptureFixture
) -> None:
    """With one row that is no JSON, the other routers were not counted."""
    store = store_with({"routers//vm-0": odd, "routers//vm-2": row_of("vm-2")})
    presence = Presence(store, "vm-1", "vm-1.a", "10.0.0.1:1")
    for _ in range(3):
        await presence.count_routers()
    assert {*presence.fleet(presence.listed)} == {"vm-1", "vm-2"}
    assert [*presence.peer_addresses()] == ["vm-2"]
    assert [line.message for line in caplog.records].count("presence row damaged") < 2


async def test_a_thousand_odd_presence_rows_change_no_count() -> None:
    """Rows of other programs filled the only page that was read, and were counted."""
    rows = {f"routers//odd-{number:03}": b"{" for number in range(1000)}
    rows["routers//vm-2"] = row_of("vm-2")
    presence = Presence(store_with(rows), "vm-1", "vm-1.a", "10.0.0.1:1")
    await presence.count_routers()
    assert {*presence.fleet(presence.listed)} == {"vm-1", "vm-2"}
    assert presence.count() == 2


async def test_presence_rows_that_are_gone_are_forgotten() -> None:
    """The memory for rows of other programs grew with each key that they used."""
    presence = Presence(store_with({}), "vm-1", "vm-1.a", "10.0.0.1:1")
    for number in range(100):
        presence.observe([Row(f"routers//vm-{number}", 1, {"router": "r"})])
        await anyio.sleep(4.0)
    assert len(presence.observed) < 20


@unreadable
async def test_odd_row_beside_a_budget_changes_nothing(odd: bytes) -> None:
    """A row whose key begins with that of a budget or grant made both unreadable."""
    rows = {
        "prepaid/acme/budget": to_bytes(PrepaidRow(3)),
        "prepaid/acme/budget-odd": odd,
        "prepaid/acme/grant/r": to_bytes(GrantRow(drawn=7)),
        "prepaid/acme/grant/r-odd": odd,
    }
    store = store_with(rows)
    read = await GrantRowCache("acme", "r", store, lambda: 1).read()
    assert (read.budget.rules_version, read.grant.drawn) == (3, 7)
    found = await find_predecessor_grant(store, "acme", Predecessor("r", 1.0))
    assert found is not None and found.granted == 7


@unreadable
@pytest.mark.parametrize("key", ["budget", "grant/r"])
async def test_odd_budget_or_grant_is_refused(odd: bytes, key: str) -> None:
    """A damaged row taken for an empty one would let tokens be spent twice."""
    if odd == UNREADABLE["infinite number"]:
        odd = b'{"budget": {"spent": 1e999}, "drawn": 1e999}'
    store = store_with({f"prepaid/acme/{key}": odd})
    with pytest.raises(DamagedRowError):
        await GrantRowCache("acme", "r", store, lambda: 1).read()


@unreadable
async def test_odd_limits_row_does_not_stop_a_start(odd: bytes) -> None:
    """A router whose row of limits is no JSON never served a prepaid request."""
    store = store_with({"limits/vm-1/row": odd, "limits/vm-1/row-odd": odd})
    renewals = Renewals(store, "vm-1", "10.0.0.1", "vm-1.a", dict)
    await renewals.step()
    assert renewals.started.is_set() and renewals.unreclaimed == ()


@unreadable
async def test_odd_row_of_a_conflict_hides_no_other(odd: bytes) -> None:
    """One odd row among those of a conflict made the router read all again."""
    value = base64.b64encode(odd).decode()
    address = {"table": "t", "part": "p", "version-number": 5}
    rows = [
        {**address, "key": "odd", "value": value},
        {**address, "key": "sound", "value": base64.b64encode(b"{}").decode()},
    ]
    with pytest.raises(ConflictError) as caught:
        await client(lambda request: answer(412, {"rows": rows})).commit(
            Transaction((AtVersion("t/p/odd", 4),), ())
        )
    found = [row.key for row in caught.value.rows if isinstance(row, Row)]
    assert found == ["t/p/odd", "t/p/sound"]


OUT_OF_RANGE: dict[str, tuple[str, dict[str, Any]]] = {
    "no port": ("vm-0", {"address": "127.0.0.1"}),
    "port out of range": ("vm-0", {"address": "127.0.0.1:65536"}),
    "port 0": ("vm-0", {"address": "127.0.0.1:0"}),
    "port of 5,000 digits": ("vm-0", {"address": f"127.0.0.1:{'9' * 5_000}"}),
    "negative port": ("vm-0", {"address": "127.0.0.1:-1"}),
    "port with a line end": ("vm-0", {"address": "127.0.0.1:1\n"}),
    "no host": ("vm-0", {"address": ":1"}),
    "empty label": ("vm-0", {"address": "a..b:1"}),
    "long label": ("vm-0", {"address": f"{'a' * 64}.b:1"}),
    "host with a line end": ("vm-0", {"address": "a\r\nb:1"}),
    "host with a surrogate": ("vm-0", {"address": "\ud800:1"}),
    "relay key with a line end": ("vm-0", {"relay_key": "a\r\nb"}),
    "relay key outside Latin-1": ("vm-0", {"relay_key": "\u20ac"}),
    "infinite rate": ("vm-0", {"link_rate": 1e999}),
    "rate that is no number": ("vm-0", {"link_rate": float("nan")}),
    "negative rate": ("vm-0", {"link_rate": -1.0}),
    "domain with a surrogate": ("vm-0", {"domain": "\ud800"}),
    "name with a surrogate": ("vm-\ud800", {}),
    "name with a line end": ("vm\r\n0", {}),
    "empty name": ("", {}),
}
"""Names and presence rows with values that no router has, by what is odd."""


@pytest.mark.parametrize(("name", "odd"), OUT_OF_RANGE.values(), ids=[*OUT_OF_RANGE])
async def test_odd_presence_row_is_used_for_nothing(
    name: str, odd: dict[str, Any]
) -> None:
    """An odd address or name in a row ended tasks and requests that used it."""
    usual = {"address": "127.0.0.1:1", "relay_key": "k", "shares_load": True}
    value = json.dumps({"router": "r", **usual, **odd}).encode()
    store = store_with({f"routers//{name}": value, "routers//vm-2": row_of("vm-2")})
    table = HolderTable("vm-1", "")
    presence = Presence(store, "vm-1", "vm-1.a", "127.0.0.1:2", on_count=table.update)
    for _ in range(2):
        await presence.count_routers()
    assert {*table.holders("acme").names} == {"vm-1", "vm-2"}
    assert presence.sharers() == {}
    async with anyio.create_task_group() as tasks:
        peers = GatewayPeers(presence.peer_addresses, tasks)
        relays = GatewayRelays("vm-1", "", peers, presence.peers, tasks)
        assert relays.candidates() == []
        for peer in [name, "vm-2"]:
            await peers.post(peer, b"/reach", ReachQuestion(), ReachAnswer, 0.1)
        assert [*peers.calls] == ["127.0.0.1:1"]


HUGE = 10**400

ODD_BUDGETS: dict[str, Json] = {
    "huge": {"rules_version": 1, "budget": {"prepaid": HUGE}},
    "huge negative": {"rules_version": 1, "budget": {"prepaid": 9, "spent": -HUGE}},
    "negative grants": {"rules_version": 1, "budget": {"outstanding": -(10**6)}},
    "negative bills": {"rules_version": 1, "budget": {"spent": -(10**6)}},
    "empty": {},
    "of no configuration": {"budget": {"prepaid": 10**6}},
    "attributes of another program": {"spent": 3, "limit": 10},
}


@pytest.mark.parametrize("odd", ODD_BUDGETS.values(), ids=[*ODD_BUDGETS])
async def test_odd_budget_gives_no_tokens(odd: Json) -> None:
    """A budget with a negative or missing number gave tokens a second time."""
    one = Router(RowHistory(), "vm-1", "vm-1.a", [10_000])
    key = budget_row_key(WORKSPACE)
    one.history.apply(Transaction((), (Put(key, odd),)))
    await one.renewals.step()
    with pytest.raises(BudgetUnreachableError):
        await one.grant.hold(1000, "r")
    await one.renewals.step()
    assert one.history.rows[key].value == odd


def grant_of(**odd: Json) -> Json:
    """Return a predecessor's grant with an odd number."""
    return {"drawn": 5_000, "sequence": 1, **odd}


@pytest.mark.parametrize(
    "odd",
    [grant_of(returned=-5_000), grant_of(drawn=HUGE), grant_of(billed=-1)],
    ids=["negative return", "huge", "negative bills"],
)
async def test_nothing_is_reclaimed_from_an_odd_grant(odd: Json) -> None:
    """A grant with a negative number would give tokens that were never drawn."""
    store = store_with({"prepaid/acme/grant/r": json.dumps(odd).encode()})
    with pytest.raises(DamagedRowError):
        await find_predecessor_grant(store, "acme", Predecessor("r", 1.0))


LIMIT = {"ceiling": 100, "early_rate": 10.0, "later_rate": 10.0}


def earlier(elapsed: float) -> dict[str, Any]:
    """Return what a row states of one more killed router with an odd time."""
    one = {"router": "vm-1.0", "elapsed": elapsed, "limits": {"acme": LIMIT}}
    return {"unreclaimed": [one], "limits": {"blue": LIMIT}}


def limits_with(**odd: Any) -> dict[str, Any]:
    """Return a row of limits of a killed router with odd values."""
    limits = {"acme": {**LIMIT, **odd.pop("limit", {})}, "blue": LIMIT}
    row = {"router": "vm-1.a", "address": "10.0.0.1", "renewed_at": 0.5}
    return {**row, "limits": limits, **odd}


ODD_LIMITS = {
    "rate no number": limits_with(limit={"later_rate": float("nan")}),
    "infinite rate": limits_with(limit={"early_rate": 1e999}),
    "negative rate": limits_with(limit={"early_rate": -1e6}),
    "negative ceiling": limits_with(limit={"ceiling": -(10**6)}),
    "huge ceiling": limits_with(limit={"ceiling": HUGE}),
    "time no number": limits_with(renewed_at=float("nan")),
    "infinite time": limits_with(renewed_at=1e999),
    "time in the future": limits_with(renewed_at=1e9),
    "negative time": limits_with(renewed_at=-1e9),
    "earlier one in the future": limits_with(**earlier(-9.0)),
    "earlier one with a time no number": limits_with(**earlier(float("nan"))),
}
"""Rows of limits with odd values for the workspace acme, or for all."""


@pytest.mark.parametrize("odd", ODD_LIMITS.values(), ids=[*ODD_LIMITS])
async def test_odd_limit_proves_no_token_unused(odd: dict[str, Any]) -> None:
    """An odd rate or time ended the reclaim, or proved used tokens unused."""
    store = store_with({"limits/vm-1/row": json.dumps(odd).encode()})
    renewals = Renewals(store, "vm-1", "10.0.0.1", "vm-1.b", dict)
    await renewals.step()
    for before in renewals.unreclaimed:
        assert "acme" not in before.limits or before.limit("acme") >= 10**6
    assert renewals.unreclaimed[-1].limit("blue") >= 100


def damaged_budget(caplog: pytest.LogCaptureFixture) -> tuple[Router, GrantManager]:
    """Return a router whose workspace has a damaged budget, and its grants."""
    caplog.set_level("INFO")
    one = Router(RowHistory(), "vm-1", "vm-1.a", [10_000])
    put = Put(budget_row_key(WORKSPACE), ODD_BUDGETS["huge"])
    one.history.apply(Transaction((), (put,)))
    return one, manager_of(one)


async def test_odd_budget_is_logged_once(caplog: pytest.LogCaptureFixture) -> None:
    """Each round of a workspace with a damaged budget wrote a line."""
    one, manager = damaged_budget(caplog)
    await one.renewals.step()
    with anyio.move_on_after(5.0):
        await manager.run()
    lines = [line for line in caplog.records if line.message == "budget round failed"]
    assert len(lines) == 1
    assert budget_row_key(WORKSPACE) in vars(lines[0])["detail"]


async def test_odd_budget_delays_no_other_reclaim(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """The tokens of other workspaces came back only after 20 s."""
    one, manager = damaged_budget(caplog)
    await one.renewals.step()
    limits = {WORKSPACE: SpendingLimit(), "blue": SpendingLimit()}
    with anyio.fail_after(1.0):
        assert not await manager.reclaim(Predecessor("vm-1.0", 1.0, limits))
    assert {line.message for line in caplog.records} >= {"reclaim failed"}


BUDGET_KEY = budget_row_key(WORKSPACE)
REPAIRED = PrepaidRow(1, BudgetRow(prepaid=100_000, spent=5_000))


@pytest.mark.parametrize(
    "repair",
    [Put(BUDGET_KEY, to_json(REPAIRED)), Delete(BUDGET_KEY)],
    ids=["replaced", "removed"],
)
async def test_repaired_budget_serves_after_open_grants_are_returned(
    repair: Put | Delete,
) -> None:
    """Guards against a workspace that a repair of its budget shuts out for good."""
    history = RowHistory()
    one = Router(history, "vm-1", "vm-1.a", [100_000])
    await one.renew()
    await one.grant.hold(1000, "r")
    one.grant.state.settle(1000, 400)
    history.apply(Transaction((), (repair,)))
    await anyio.sleep(10.0)
    await one.renew()
    await one.grant.close()
    two = Router(history, "vm-2", "vm-2.a", [100_000])
    await two.renew()
    await two.grant.hold(1000, "r-2")
