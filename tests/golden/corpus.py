"""The sample values that the files under ``data`` hold.

Each value is made with keyword arguments, so that renaming an attribute renames it
here too, while the files keep what was written before.  The labels name the files and
follow no identifier of the code.  Every attribute differs from its default, since the
converters leave defaults out.
"""

from __future__ import annotations

from collections.abc import Mapping
from datetime import UTC, datetime
from enum import Enum

from attrs import evolve

from ebonyhold.backends._messages import (
    CacheAction,
    CacheEvent,
    CacheEvents,
    LoadReport,
)
from ebonyhold.callers._codes import Kind, Ran
from ebonyhold.configuration._parts import Change
from ebonyhold.configuration._store import BaseIndex, Manifest, Pack, PackEntry
from ebonyhold.coordination import BegunStream
from ebonyhold.coordination._attempts import AttemptState
from ebonyhold.coordination._configuration import HeadRow
from ebonyhold.coordination._crashes import CrashReport, RequestLoss, ServerRun
from ebonyhold.coordination._heartbeats import Beat, BeatKind
from ebonyhold.coordination._leases import LeaseRow
from ebonyhold.coordination._members import MemberStatus, MemberUpdate
from ebonyhold.coordination._memory_leases import (
    LeaseAnswer,
    LeaseOutcome,
    WantedLease,
)
from ebonyhold.coordination._memory_pool import MemoryNeed
from ebonyhold.coordination._orders import Action, EngineOrder, OrderRow
from ebonyhold.coordination._rows import (
    ArchiveRow,
    BudgetRow,
    GrantRow,
    Intent,
    JournalEntry,
    JournalSegment,
    KeptAnswer,
    Outcome,
    RefundRow,
    RequestKind,
    RequestRow,
    RequestState,
    RouterRow,
    RouterState,
    Seal,
    TopUpRow,
    TransferIn,
    TransferOut,
    TransferRow,
    TransferState,
)
from ebonyhold.coordination._server_limits import EndedLimit
from ebonyhold.daemon._messages import (
    BackendUse,
    HeldGrant,
    StatusReply,
    StatusRequest,
)
from ebonyhold.document import (
    ApiKey,
    Backend,
    BackendKind,
    Document,
    Finding,
    FindingCode,
    Limits,
    ModelRoute,
    Policy,
    ServiceRoute,
    ServiceRule,
    Severity,
    StaleConfiguration,
    Stop,
    UnknownOutcome,
    Workspace,
)
from ebonyhold.experiments._catalogue import Kind as ExperimentKind
from ebonyhold.experiments._results import Measured, Result, RunKey, Sample
from ebonyhold.forwarding import BackendState
from ebonyhold.forwarding._exchange import AttemptEnd
from ebonyhold.forwarding._refusals import Refusal
from ebonyhold.forwarding._types import RouteKind
from ebonyhold.gateway._holds import HoldAnswer, Settlements, SettlementsAnswer
from ebonyhold.gateway._memory import MemoryReturns, ReturnsAnswer
from ebonyhold.gateway._observations import ObservationsAnswer, ObservationsRow
from ebonyhold.gateway._presence import PresenceRow
from ebonyhold.gateway._relays import ReachAnswer, ReachQuestion
from ebonyhold.gateway._renewals import LimitsRow
from ebonyhold.gateway._streams import (
    BegunStreams,
    BegunStreamsAnswer,
    StreamAnswer,
    StreamQuestion,
)
from ebonyhold.gateway._transfers import TransferAnswer
from ebonyhold.gateway._transfers import TransferRequest as GatewayTransferRequest
from ebonyhold.gateway._version_rows import VersionsRow
from ebonyhold.operators._interface import (
    BackendStatus,
    Discrepancy,
    GrantStatus,
    OpenRun,
    RouterStatus,
)
from ebonyhold.prepaid import HoldOutcome, Predecessor, PrepaidRow, SpendingLimit
from ebonyhold.prepaid._request_hold import WantedHold
from ebonyhold.routers import (
    ConfigurationReply,
    ConfigurationRequest,
    PeerMessage,
    TransferGiven,
    TransferRequest,
    VersionNotice,
)
from ebonyhold.routers._envelope import Header
from ebonyhold.routers._exchange import Frame, Purpose
from ebonyhold.routers._wire import Gossip
from ebonyhold.settings import (
    Listener,
    PlatformSettings,
    Settings,
    TlsSettings,
    TracingSettings,
)
from ebonyhold.standins._control import (
    Control,
    Overshoot,
    StreamFault,
    StreamTrouble,
)
from ebonyhold.standins._members import Change as MemberChange
from ebonyhold.standins._members import MemberRow
from ebonyhold.standins._records import (
    EngineRecord,
    EngineRecords,
    OrderRecord,
    ServiceRecord,
    ServiceRecords,
)
from ebonyhold.stores import Counters, Member, MemberRole, MemberState, Priority
from ebonyhold.stores._members import MemberList

BUDGET = BudgetRow(prepaid=9000, outstanding=1200, spent=345)

LIMIT = SpendingLimit(ceiling=410, early_rate=12.5, later_rate=77.25)

KEPT = KeptAnswer(status=201, content_type="text/plain", body="booked")

HEAD = HeadRow(
    version=7,
    digest="d1" * 32,
    manifest="a2" * 32,
    based_on=6,
    author="olga",
    at=1790000000.5,
    publication="pub-1",
)

ENTRIES: Mapping[str, JournalEntry] = {
    "intent": Intent(
        workspace="acme",
        request="req-1",
        attempt="vm-1.b1/1/1",
        backend="engine-1",
        hold=640,
        kind=RequestKind.REPEATABLE,
        digest="c3" * 32,
        keyed=True,
        boot="boot-9",
    ),
    "outcome": Outcome(
        workspace="acme",
        request="req-1",
        attempt="vm-1.b1/1/1",
        state=RequestState.INTERRUPTED,
        charge=99,
        prompt_tokens=40,
        completion_tokens=59,
        overshoot=3,
        answer=KEPT,
    ),
    "transfer-out": TransferOut(
        workspace="acme", transfer="t-1", to="vm-2.b5", amount=250
    ),
    "transfer-in": TransferIn(
        workspace="acme", transfer="t-2", source="vm-3.b6", amount=125
    ),
    "seal": Seal(by="vm-4.b7"),
}
"""One of each class of journal entry."""

COMPACT: Mapping[str, object] = {
    "row-budget": BUDGET,
    "row-top-up": TopUpRow(amount=500, operator="olga", at=1790000001.25),
    "row-refund": RefundRow(
        request="req-1", amount=20, operator="otto", at=1790000002.5
    ),
    "row-router": RouterRow(
        state=RouterState.SEALED,
        domain="rack-1",
        address="10.0.0.1:7000",
        started_at=1790000003.5,
        sealed_by="vm-2.b5",
        closed_at=1790000004.5,
    ),
    "row-grant": GrantRow(
        drawn=900,
        returned=100,
        billed=300,
        sequence=17,
        transferred_in=50,
        transferred_out=25,
    ),
    "row-request": RequestRow(
        state=RequestState.COMPLETE,
        kind=RequestKind.BOOKING,
        owner="vm-1.b1",
        attempt="vm-1.b1/1/2",
        backend="booking-1",
        digest="e4" * 32,
        charge=120,
        prompt_tokens=70,
        completion_tokens=50,
        overshoot=6,
        filed_at=1790000005.5,
        answer=KEPT,
        refunded=30,
        repeats=2,
    ),
    "row-transfer": TransferRow(
        workspace="acme",
        source="vm-3.b6",
        to="vm-1.b1",
        amount=125,
        state=TransferState.LAPSED,
    ),
    "row-archive": ArchiveRow(bills=12, charged=3400, refunded=56),
    "row-lease": LeaseRow(holder="vm-1.b1", fencing=8, length=5.5),
    "row-order": OrderRow(
        order=EngineOrder(
            backend="engine-1", action=Action.UNLOAD, model="library/small"
        ),
        fencing=8,
        at=1790000006.5,
    ),
    "row-head": HEAD,
    "row-prepaid": PrepaidRow(rules_version=4, budget=BUDGET),
    "row-presence": PresenceRow(
        router="vm-1.b1", address="10.0.0.1:7100", domain="rack-1"
    ),
    "row-presence-relay": PresenceRow(
        router="vm-1.b1", address="10.0.0.1:7100", domain="rack-1", relay_key="5e0a"
    ),
    "row-presence-streams": PresenceRow(
        router="vm-1.b1",
        address="10.0.0.1:7100",
        domain="rack-1",
        relay_key="5e0a",
        keeps_streams=True,
    ),
    "row-presence-load": PresenceRow(
        router="vm-1.b1",
        address="10.0.0.1:7100",
        domain="rack-1",
        relay_key="5e0a",
        keeps_streams=True,
        shares_load=True,
        link_rate=625000.0,
    ),
    "row-presence-memory": PresenceRow(
        router="vm-1.b1",
        address="10.0.0.1:7100",
        domain="rack-1",
        relay_key="5e0a",
        keeps_streams=True,
        lends_memory=True,
        has_leases=True,
    ),
    "row-limits": LimitsRow(
        router="vm-1.b1",
        address="10.0.0.1:7100",
        renewed_at=301.5,
        number=44,
        limits={"acme": LIMIT},
        unreclaimed=(
            Predecessor(
                router="vm-1.b0",
                elapsed=2.75,
                limits={
                    "beta": SpendingLimit(ceiling=5, early_rate=1.5, later_rate=2.5)
                },
            ),
        ),
    ),
    "row-limits-use": LimitsRow(
        router="vm-1.b1",
        address="10.0.0.1:7100",
        renewed_at=301.5,
        number=44,
        limits={"acme": evolve(LIMIT, used=390, held=120)},
        unreclaimed=(
            Predecessor(router="vm-1.b0", elapsed=2.75, limits={"beta": LIMIT}),
        ),
    ),
    "journal-segment": JournalSegment(entries=tuple(ENTRIES.values())),
    "object-manifest": Manifest(
        version=7,
        base="b5" * 32,
        base_version=5,
        changes=(
            Change(
                version=7,
                upserts={"models/small": {"model": "small"}},
                deletes=("stops/old",),
            ),
        ),
    ),
    "object-base-index": BaseIndex(
        version=5, packs=(PackEntry(digest="f6" * 32, content="a7" * 32),)
    ),
    "object-pack": Pack(since=5, parts={"models/small": {"model": "small"}}),
    "engine-load-report": LoadReport(
        boot="boot-9",
        sequence=31,
        running=4,
        queued=2,
        free_blocks=1000,
        token_rate=812.5,
        models=("library/small",),
        adapters=("tuned",),
        leaving=True,
    ),
    "engine-cache-events": CacheEvents(
        events=(CacheEvent(sequence=32, action=CacheAction.REMOVED, prefix="p-1"),)
    ),
    "row-versions": VersionsRow(versions=("v1", "v1.1")),
    "operators-router": RouterStatus(
        router="vm-1.b1",
        domain="rack-1",
        version=7,
        state="suspect",
        in_flight=3,
        grants=(GrantStatus(workspace="acme", available=60, held=40),),
        confirmed_age=1.5,
        seen_age=0.25,
        stranded=11,
    ),
    "operators-backend": BackendStatus(
        backend="engine-1",
        domain="rack-2",
        state="ejected",
        in_flight=5,
        held_by=("vm-1.b1",),
    ),
    "operators-discrepancy": Discrepancy(
        workspace="acme", finding="sum", expected=10, found=9
    ),
    "operators-open-run": OpenRun(
        router="vm-2.b5",
        workspace="acme",
        request="req-1",
        attempt="vm-2.b5/1/1",
        backend="engine-1",
        hold=640,
    ),
}
"""What is written as compact JSON, by label."""

OBSERVATIONS = ObservationsRow(
    ended_limits=(EndedLimit(ServerRun("i-3", 1785000000002), at=3.5),),
    crashes=CrashReport(
        losses=(
            RequestLoss(
                request="5a0d6ffc", run=ServerRun("i-1", 1785000000000), depth=2, at=1.5
            ),
        ),
        retracted=(
            RequestLoss(
                request="9b1e", run=ServerRun("i-2", 1785000000001), depth=3, at=2.5
            ),
        ),
    ),
)

SHARED_OBSERVATIONS = evolve(
    OBSERVATIONS,
    crashes=evolve(
        OBSERVATIONS.crashes,
        shared=(
            RequestLoss(
                request="77ab",
                run=ServerRun("i-4", 1785000000003),
                depth=2,
                at=4.5,
                alone=False,
            ),
        ),
    ),
)
"""A row with the attributes that the first file of its class does not have yet."""

PART_OBSERVATIONS = evolve(
    SHARED_OBSERVATIONS,
    parts=CrashReport(
        losses=(
            RequestLoss(
                "28348b52", ServerRun("i-5", 1785000000004), 2, 5.5, holder="5a0d6ffc"
            ),
        ),
        retracted=(
            RequestLoss(
                "c03e", ServerRun("i-5", 1785000000004), 2, 5.5, holder="5a0d6ffc"
            ),
        ),
        shared=(
            RequestLoss(
                "28348b52",
                ServerRun("i-6", 1785000000005),
                2,
                6.5,
                alone=False,
                holder="9b1e",
            ),
        ),
    ),
)
"""The same with parts of prompts."""

GATEWAYS: Mapping[str, object] = {
    "transfer-request": GatewayTransferRequest(workspace="acme", amount=75),
    "transfer-answer": TransferAnswer(given=75, left=20),
    "transfer-answer-own": TransferAnswer(given=75, left=20, own=5),
    "wanted-hold": WantedHold(
        hold="vm-1/5", workspace="acme", amount=64, request="req-1"
    ),
    "hold-answer": HoldAnswer(outcome=HoldOutcome.EXHAUSTED),
    "settlements": Settlements(charges={"vm-1/5": 33}),
    "settled": SettlementsAnswer(),
    "wanted-lease": WantedLease(
        lease="vm-1.b1/5",
        server="i-1",
        need=MemoryNeed(own=2941, shared={"5e0a": 6300}),
        lasts=7.5,
        workspace="acme",
        priority=2,
        waits=0.5,
    ),
    "lease-answer": LeaseAnswer(outcome=LeaseOutcome.FULL, wait=0.25),
    "memory-returns": MemoryReturns(leases=["vm-1.b1/5"]),
    "memory-returned": ReturnsAnswer(confirmed=True),
    "observations": OBSERVATIONS,
    "observations-shared": SHARED_OBSERVATIONS,
    "observations-parts": PART_OBSERVATIONS,
    "observations-answer": ObservationsAnswer(),
    "begun-streams": BegunStreams(streams={"5e0a": BegunStream("chat", "v1.1")}),
    "begun-streams-answer": BegunStreamsAnswer(),
    "stream-question": StreamQuestion(stream="5e0a", service="chat"),
    "stream-answer": StreamAnswer(
        known=True, begun=BegunStream("chat", "v1.1"), versions=("v1", "v1.1")
    ),
    "stream-answer-possible": StreamAnswer(
        known=True,
        begun=BegunStream("chat", "v1.1"),
        versions=("v1", "v1.1"),
        possible=("v1",),
    ),
    "reach-question": ReachQuestion(servers=("i-1", "i-2")),
    "reach-answer": ReachAnswer(reached=("i-1",), refused=("i-2",)),
    "reach-answer-stopping": ReachAnswer(
        reached=("i-1",), refused=("i-2",), stopping=True
    ),
}
"""What gateways tell each other, by label."""

FINDING = Finding(
    code=FindingCode.BAD_VALUE.value,
    line=3,
    column=9,
    path="backends[2].domain",
    message="no such domain",
    severity=Severity.WARNING,
)

MEMBERS = MemberList(
    members=(
        Member(
            name="vm-1",
            address="10.0.0.1:7000",
            domain="rack-1",
            role=MemberRole.BACKEND,
            state=MemberState.LEAVING,
        ),
    )
)

DOCUMENT = Document(
    fleet="north",
    domains=("rack-1", "rack-2"),
    workspaces=(
        Workspace(
            name="acme",
            keys=(ApiKey(id="first", sha256="0a" * 32),),
            prepaid=9000,
            concurrency=32,
            queue=16,
            weight=3,
        ),
    ),
    models=(
        ModelRoute(
            model="library/small", default_tokens=256, most_tokens=2048, priority=2
        ),
    ),
    services=(
        ServiceRoute(
            service="booking",
            rules=(ServiceRule(method="GET", path="/rooms", repeatable=True, price=4),),
            honours_idempotency_key=True,
            timeout=2.5,
            most_body=65536,
        ),
    ),
    backends=(
        Backend(
            name="engine-1",
            kind=BackendKind.ENGINE,
            address="10.0.1.1:8000",
            domain="rack-1",
            models=("library/small",),
            slots=8,
            checks_fencing=True,
            tls=True,
        ),
        Backend(
            name="booking-1",
            kind=BackendKind.SERVICE,
            address="10.0.1.2:8000",
            domain="rack-2",
            service="booking",
            slots=4,
        ),
        Backend(
            name="booking-2",
            kind=BackendKind.SERVICE,
            address="10.0.1.3:8000",
            domain="rack-1",
            service="booking",
            slots=4,
        ),
    ),
    stops=(
        Stop(
            name="repair",
            starts=datetime(2031, 5, 6, 7, 8, 9, tzinfo=UTC),
            ends=datetime(2031, 5, 6, 9, 8, 9, tzinfo=UTC),
            backend="booking-1",
        ),
        Stop(
            name="power",
            starts=datetime(2031, 6, 6, 7, 8, 9, tzinfo=UTC),
            ends=datetime(2031, 6, 6, 9, 8, 9, tzinfo=UTC),
            domain="rack-2",
        ),
    ),
    policy=Policy(
        grants="adaptive",
        choice="least_load",
        grant_horizon=60.0,
        reserve_share=0.5,
        unknown_outcome=UnknownOutcome.WAIT,
        stale_configuration=StaleConfiguration.REFUSE,
        stale_after=120.0,
        retry_ratio=0.25,
        keep_bills=86400.0,
    ),
    limits=Limits(
        most_body=524288,
        table_writes=50.0,
        table_reads=200.0,
        drain=15.0,
        stream_buffer=131072,
    ),
)
"""A document with every attribute; no one backend or stop may have them all."""

SETTINGS = Settings(
    name="vm-1",
    domain="rack-1",
    callers=Listener(
        bind="0.0.0.0:8443",
        tls=TlsSettings(
            certificate="/etc/callers.pem", key="/etc/callers.key", authority="/etc/ca"
        ),
    ),
    operators=Listener(
        bind="127.0.0.1:9443",
        tls=TlsSettings(
            certificate="/etc/ops.pem", key="/etc/ops.key", authority="/etc/ops-ca"
        ),
    ),
    peers="10.0.0.1:7000",
    platform=PlatformSettings(
        table="http://table",
        objects="http://objects",
        members="http://members",
        weights="http://weights",
        timeout=3.5,
    ),
    peer_keys="/etc/peers",
    operator_keys="/etc/operators",
    log_level="DEBUG",
    tracing=TracingSettings(exporter="otlp", endpoint="http://traces", ratio=0.5),
)

PEERS: Mapping[str, PeerMessage] = {
    "gossip": Gossip(
        beat=Beat(
            kind=BeatKind.RELAY,
            sequence=21,
            updates=(
                MemberUpdate(
                    router="vm-1.b1",
                    address="10.0.0.1:7000",
                    domain="rack-1",
                    status=MemberStatus.LEAVING,
                    revision=3,
                    started=1790000000000,
                ),
            ),
            target="vm-2.b5",
            address="10.0.0.2:7000",
            after="vm-1.b0",
            known=40,
            page_end="vm-3.b6",
        )
    ),
    "transfer_request": TransferRequest(workspace="acme", wanted=90, have=("t-1",)),
    "transfer_given": TransferGiven(workspace="acme", transfer="t-2", amount=80),
    "version_notice": VersionNotice(version=7, digest="d1d1"),
    "configuration_request": ConfigurationRequest(),
    "configuration_reply": ConfigurationReply(
        version=7, digest="d1d1", confirmed_age=1.25
    ),
    "status_request": StatusRequest(),
    "status_reply": StatusReply(
        router="vm-1.b1",
        domain="rack-1",
        version=7,
        stopping=True,
        in_flight=3,
        confirmed_age=1.25,
        grants=(HeldGrant(workspace="acme", available=60, held=40),),
        uses=(BackendUse(backend="engine-1", in_flight=2),),
    ),
}
"""One message of each kind, by its name on the wire."""

FRAMES: Mapping[str, Frame] = {
    name: Frame(purpose=Purpose.QUESTION, correlation=300, message=message)
    for name, message in PEERS.items()
}

HEADER = Header(
    version=1,
    key="k2",
    session=bytes(range(16)),
    sequence=1,
    sender="vm-1.b1",
    receiver="vm-2.b5",
    address="10.0.0.2:7000",
    ring=("k2", "k1"),
)

PLAIN: Mapping[str, object] = {
    "members": MEMBERS,
    "experiment-result": Result(
        key=RunKey(scenario="calm", policy="adaptive", seed=3),
        kind=ExperimentKind.MONEY,
        deployment="small",
        figures=(Measured(name="refused", value=2.5),),
        samples=(Sample(at=1.5, idle=30, stranded=20),),
        broken=("one bill",),
    ),
    "standin-engine-records": EngineRecords(
        attempts=(
            EngineRecord(
                backend="engine-1",
                boot="boot-9",
                attempt="vm-1.b1/1/1",
                traceparent="00-01-02-01",
                digest="c3c3",
                prompt_tokens=40,
                completion_tokens=59,
                resumed=7,
                max_tokens=64,
                state="finished",
                sent=True,
                arrived_at=1790000000.5,
                ended_at=1790000001.5,
            ),
        ),
        orders=(
            OrderRecord(
                backend="engine-1",
                order="load",
                model="library/small",
                fencing=8,
                accepted=True,
                at=1790000002.5,
            ),
        ),
    ),
    "standin-service-records": ServiceRecords(
        calls=(
            ServiceRecord(
                backend="booking-1",
                method="POST",
                path="/rooms",
                key="k-1",
                attempt="vm-1.b1/1/2",
                body_digest="e4e4",
                traceparent="00-01-02-01",
                replayed=True,
                at=1790000003.5,
            ),
        )
    ),
    "standin-member-change": MemberChange(
        at=4.5,
        name="vm-1",
        row=MemberRow(
            name="vm-1",
            address="10.0.0.1:7000",
            domain="rack-1",
            role="entry",
            state="leaving",
        ),
    ),
    "standin-control": Control(
        down=True,
        slow=0.5,
        answer_slow=0.25,
        lose_answers=1,
        lose_requests=2,
        late=3,
        flush=True,
        duplicate=4,
        throttled=5,
        malformed=6,
        oversized=7,
        pause=True,
        stream=StreamTrouble(kind=StreamFault.CROSSED, after=9, count=8),
        overshoot=Overshoot(tokens=11, count=10),
        slowdown=1.5,
        leaving=True,
        reboot=True,
    ),
}
"""What the library's plain converter writes with all attributes, by label."""

ENUMS: Mapping[str, type[Enum]] = {
    "attempt-end": AttemptEnd,
    "attempt-state": AttemptState,
    "backend-kind": BackendKind,
    "backend-state": BackendState,
    "beat-kind": BeatKind,
    "cache-action": CacheAction,
    "caller-error-kind": Kind,
    "caller-error-ran": Ran,
    "engine-action": Action,
    "gateway-refusal": Refusal,
    "experiment-kind": ExperimentKind,
    "finding-code": FindingCode,
    "finding-severity": Severity,
    "hold-outcome": HoldOutcome,
    "member-role": MemberRole,
    "member-state": MemberState,
    "member-status": MemberStatus,
    "platform-priority": Priority,
    "purpose": Purpose,
    "request-kind": RequestKind,
    "request-state": RequestState,
    "route-kind": RouteKind,
    "router-state": RouterState,
    "standin-stream-fault": StreamFault,
    "stale-configuration": StaleConfiguration,
    "transfer-state": TransferState,
    "unknown-outcome": UnknownOutcome,
}
"""Enums whose values are written out."""

NAMED_ENUMS: Mapping[str, type[Enum]] = {
    "beat-kind": BeatKind,
    "member-status": MemberStatus,
}
"""Enums whose members' names are written out too, in logs and in answers."""

COUNTERS = Counters(
    calls=1,
    rows=2,
    waited=3.5,
    retries=4,
    refused=5,
    throttled=6,
    unavailable=7,
    unknown=8,
    conflicts=9,
)
