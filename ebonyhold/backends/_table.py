"""The backend servers that a router uses, and the task that polls them."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Sequence

import anyio
import httpx
from attrs import define, field

from ebonyhold.backends._attempt_status import UNKNOWN, close_at_engine
from ebonyhold.backends._engine import EngineClient
from ebonyhold.backends._http import make_client
from ebonyhold.backends._messages import LoadReport, Timeouts
from ebonyhold.backends._poll import poll_cache, poll_load
from ebonyhold.backends._service import ServiceClient
from ebonyhold.backends._state import BackendState
from ebonyhold.coordination import (
    AttemptStatus,
    ChoicePolicy,
    DrainingServer,
    Ejector,
    InProgress,
    Need,
    draining_servers,
    make_choice_policy,
    working_set,
)
from ebonyhold.document import Backend, BackendKind
from ebonyhold.exceptions import UnavailableError
from ebonyhold.fleet import FleetView
from ebonyhold.types import AttemptId, BackendName, Seconds

POLL_INTERVAL: Seconds = 0.5
"""Minimum mean time between polls of one engine, and the timeout of each request."""

MAX_POLL_RATE = 8.0
"""Maximum mean number of load reports that a router requests per second.

The more engines a router polls, the less often it polls each, so that the total cost
stays bounded.
"""

WORKING_SET_SIZE = 24
"""Maximum number of engines of one group that a router polls and prefers.

A group is all engines that are configured with the same models.
"""

CACHE_POLL_ROUNDS = 4
"""Number of poll rounds per request for cache events.

Requesting them more often would gain little: cache events are out of date when they
arrive, and a router records the prefixes of its own requests without them.
"""

POLL_JITTER = 0.2
"""Range of the random variation of the poll interval, as a fraction of the interval.

The interval varies by half of this in each direction, so that the routers do not all
poll at the same time.
"""

REMOTE_DELAY: Seconds = 0.0015
"""The assumed one-way delay to a server in another failure domain."""


@define
class Backends:
    """The backend servers of the current document: polls them and chooses among them.

    Attributes:
        fleet: The current document, and which servers are leaving.
        rng: The random number generator.
        timeouts: The timeouts of calls to servers.
        poll_interval: The minimum mean time between two polls of one engine, and the
            timeout of each request of a poll, in seconds.
        transport: Replaces the transport over TCP, in tests.
        client: The HTTP client of all calls.
        engines: The client of model engines.
        services: The client of plain services.
        states: The state of each server in the document.
        ejector: Ejects servers that fail.
        policies: The choice policies that were used, by name.
        version: The version of the document at the last refresh.
        rounds: Number of rounds of polls that were started.
        working: The engines that this router polls and prefers.
        self_id: A random id, so that routers choose different working sets.
        on_change: Called when free slots may have changed: after each poll and attempt.
    """

    fleet: FleetView
    rng: random.Random = field(factory=random.Random)
    timeouts: Timeouts = field(factory=Timeouts)
    poll_interval: Seconds = POLL_INTERVAL
    transport: httpx.AsyncBaseTransport | None = None
    client: httpx.AsyncClient = field(init=False)
    engines: EngineClient = field(init=False)
    services: ServiceClient = field(init=False)
    states: dict[BackendName, BackendState] = field(factory=dict)
    ejector: Ejector = field(factory=Ejector)
    policies: dict[str, ChoicePolicy] = field(factory=dict)
    version: int = -1
    rounds: int = 0
    working: frozenset[BackendName] = frozenset()
    self_id: str = field(init=False)
    on_change: Callable[[], None] = field(default=lambda: None)

    def __attrs_post_init__(self) -> None:
        """Draw the random id and create the clients."""
        self.self_id = f"{self.rng.getrandbits(64):016x}"
        self.client = make_client(self.timeouts, self.transport)
        self.engines = EngineClient(self.client, self.timeouts)
        self.services = ServiceClient(self.client)

    async def run(self) -> None:
        """Poll the working set until cancelled, then close the HTTP client."""
        try:
            while True:
                self.refresh()
                self.rounds += 1
                async with anyio.create_task_group() as group:
                    for name in self.working:
                        group.start_soon(self.poll, self.states[name])
                await anyio.sleep(self.pause())
        finally:
            with anyio.CancelScope(shield=True):
                await self.client.aclose()

    def pause(self) -> Seconds:
        """Return the randomly varied pause before the next round of polls."""
        period = max(self.poll_interval, len(self.working) / MAX_POLL_RATE)
        return period * (1 + POLL_JITTER * (self.rng.random() - 0.5))

    async def poll(self, state: BackendState) -> None:
        """Request one engine's load report and, in some rounds, its cache events.

        A missing or invalid report counts as a failed connection to the engine.
        """
        report = await poll_load(self.client, state.backend, self.poll_interval)
        name = state.backend.name
        if report is None:
            self.ejector.lost(name, anyio.current_time())
            self.on_change()
            return
        self.ejector.reached(name)
        self.use_report(state, report)
        if self.rounds % CACHE_POLL_ROUNDS == 0:
            await poll_cache(self.client, state, self.poll_interval)
        self.on_change()

    def use_report(self, state: BackendState, report: LoadReport) -> None:
        """Use a load report, and record in the fleet view whether the server leaves.

        An outdated report changes nothing.
        """
        if not state.record_report(report, anyio.current_time()):
            return
        if report.leaving:
            self.fleet.reported_leaving.add(state.backend.name)
        else:
            self.fleet.reported_leaving.discard(state.backend.name)

    def refresh(self) -> None:
        """Update the states and the working set to the current document.

        A server whose address changed starts with a new state; the state of a server
        that is not in the document is dropped.
        """
        document = self.fleet.document
        self.version = self.fleet.version
        wanted = {backend.name: backend for backend in document.backends}
        for name in list(self.states):
            known = wanted.get(name)
            state = self.states[name]
            if known is None or known.address != state.backend.address:
                del self.states[name]
            else:
                state.backend = known
        for name, backend in wanted.items():
            if name not in self.states:
                self.states[name] = BackendState(backend, self.distance(backend))
        self.working = self.choose_working_set()

    def choose_working_set(self) -> frozenset[BackendName]:
        """Return at most `WORKING_SET_SIZE` engines of each group with equal models."""
        groups: dict[tuple[str, ...], list[BackendName]] = {}
        for backend in self.fleet.backends(BackendKind.ENGINE):
            groups.setdefault(backend.models, []).append(backend.name)
        sets = [
            working_set(self.self_id, names, WORKING_SET_SIZE)
            for names in groups.values()
        ]
        return frozenset().union(*sets)

    def distance(self, backend: Backend) -> Seconds:
        """Return the assumed one-way delay to a server; 0 in this router's domain."""
        return 0.0 if backend.domain == self.fleet.domain else REMOTE_DELAY

    def usable(
        self, kind: BackendKind, name: str, tried: Iterable[BackendName] = ()
    ) -> list[BackendState]:
        """Return the servers that may get new requests for a model or a service.

        Leaving and ejected servers are left out.  Engines outside the working set are
        returned only if the working set has no engine that offers the model and is not
        leaving; an ejected engine there still counts as one.

        Args:
            kind: Engines or plain services.
            name: The model or the service.
            tried: Servers to leave out.
        """
        if self.version != self.fleet.version:
            self.refresh()
        tried = set(tried)
        eligible = [
            state
            for state in self.states.values()
            if serves(state, kind, name) and self.fleet.accepts(state.backend)
        ]
        if kind is BackendKind.ENGINE:
            polled = [state for state in eligible if state.backend.name in self.working]
            eligible = polled or eligible
        domains = {state.backend.name: state.backend.domain for state in eligible}
        ejected = self.ejector.ejected(domains, anyio.current_time())
        return [
            state
            for state in eligible
            if state.backend.name not in ejected and state.backend.name not in tried
        ]

    def free_slots(self, kind: BackendKind, name: str) -> int:
        """Return the free slots of all usable servers of a model or service."""
        return sum(state.free_slots for state in self.usable(kind, name))

    def choose(
        self,
        model: str,
        need: Need,
        hashes: tuple[str, ...],
        tried: Iterable[BackendName] = (),
    ) -> BackendState | None:
        """Choose an engine by the current policy; return None if none is usable.

        Engines with free slots are preferred.  If all are full, a full engine is
        chosen, so that an answer that has begun can continue.
        """
        eligible = self.usable(BackendKind.ENGINE, model, tried)
        preferred = [state for state in eligible if state.free_slots > 0] or eligible
        if not preferred:
            return None
        candidates = [state.candidate(hashes) for state in preferred]
        chosen = self.policy().choose(need, candidates, self.rng)
        return self.states[chosen.name]

    def choose_service(
        self, service: str, tried: Iterable[BackendName] = ()
    ) -> BackendState | None:
        """Choose the server that has the fewest requests from this router.

        Ties are decided by the shorter delay, then at random.  The result is None if
        no server is usable.
        """
        eligible = self.usable(BackendKind.SERVICE, service, tried)
        if not eligible:
            return None
        return min(
            eligible,
            key=lambda item: (item.own_requests, item.distance, self.rng.random()),
        )

    def policy(self) -> ChoicePolicy:
        """Return the document's choice policy, which is created at its first use."""
        name = self.fleet.document.policy.choice
        if name not in self.policies:
            self.policies[name] = make_choice_policy(name)
        return self.policies[name]

    async def close_attempt(
        self, backend: BackendName, attempt: AttemptId
    ) -> AttemptStatus:
        """Close an attempt permanently and return its status.

        The status is `UNKNOWN` for a plain service, for a server that is no longer in
        the document, and if the engine does not return a status in time.
        """
        state = self.states.get(backend)
        if state is None:
            return UNKNOWN
        try:
            return await close_at_engine(
                self.client, state.backend, attempt, self.timeouts.close
            )
        except UnavailableError:
            return UNKNOWN

    def draining_servers(self) -> tuple[DrainingServer, ...]:
        """Return the leaving servers, each with this router's requests that it runs."""
        leaving = [
            state.backend.name
            for state in self.states.values()
            if not self.fleet.accepts(state.backend)
        ]
        return draining_servers(leaving, self.in_progress())

    def in_progress(self) -> Sequence[InProgress]:
        """Return the requests of all running attempts of this router."""
        return [
            request
            for state in self.states.values()
            for request in state.running.values()
        ]


def serves(state: BackendState, kind: BackendKind, name: str) -> bool:
    """Return whether a server offers a model or a service.

    An engine offers the models and adapters in its latest report; if the report has no
    models, or there is none yet, the models that are configured for the engine.
    """
    backend = state.backend
    if backend.kind is not kind:
        return False
    if kind is BackendKind.SERVICE:
        return backend.service == name
    loaded = state.report.models or backend.models
    return name in loaded or name in state.report.adapters
