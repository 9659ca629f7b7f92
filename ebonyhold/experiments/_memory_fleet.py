"""Routers' money over a table, a store and links in memory, under any clock."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TypeVar

import anyio
from anyio.abc import TaskGroup
from attrs import define, evolve, field

from ebonyhold.coordination import (
    AttemptState,
    AttemptStatus,
    BudgetRow,
    Outcome,
    RequestKind,
    RequestState,
    budget_key,
    from_json,
)
from ebonyhold.document import Policy
from ebonyhold.exceptions import PeerError
from ebonyhold.money import (
    GrantManager,
    MoneyOptions,
    Order,
    Permit,
    Recovery,
    RecoveryReport,
    top_up,
)
from ebonyhold.routers import Handler, PeerMessage
from ebonyhold.standins import MemoryObjects, MemoryTable
from ebonyhold.types import (
    AttemptId,
    BackendName,
    RouterId,
    Seconds,
    Tokens,
    WorkspaceName,
)

Reply = TypeVar("Reply", bound=PeerMessage)


@define
class MemoryNetwork:
    """Links between routers.

    Attributes:
        handlers: What each router answers, by the kind of message.
        cut: Pairs whose messages from the first to the second are lost.
        delay: One way, in seconds.
        lose_replies: Answers that are lost, counting down.
    """

    handlers: dict[RouterId, dict[type[PeerMessage], Handler]] = field(factory=dict)
    cut: set[tuple[RouterId, RouterId]] = field(factory=set)
    delay: Seconds = 0.001
    lose_replies: int = 0

    def link(self, me: RouterId) -> MemoryLink:
        """Return a router's end."""
        self.handlers[me] = {}
        return MemoryLink(self, me)

    def part(self, one: RouterId, other: RouterId) -> None:
        """Cut both ways between two routers."""
        self.cut.update({(one, other), (other, one)})

    def heal(self) -> None:
        """Mend every cut."""
        self.cut.clear()

    async def carry(
        self, source: RouterId, to: RouterId, message: PeerMessage
    ) -> PeerMessage | None:
        """Deliver a message and return what its handler answers.

        Raises:
            PeerError: It was lost, or nobody answers there.
        """
        await anyio.sleep(self.delay)
        handler = self.handlers.get(to, {}).get(type(message))
        if handler is None or (source, to) in self.cut:
            raise PeerError(f"{to} cannot be reached")
        answer = await handler(source, message)
        await anyio.sleep(self.delay)
        if (to, source) in self.cut:
            raise PeerError(f"the answer of {to} was lost")
        if self.lose_replies > 0:
            self.lose_replies -= 1
            raise PeerError(f"the answer of {to} was lost")
        return answer


@define
class MemoryLink:
    """One router's `PeerLink`."""

    network: MemoryNetwork
    me: RouterId

    def alive(self) -> tuple[RouterId, ...]:
        """Return the routers that can be reached from here."""
        others = (name for name in self.network.handlers if name != self.me)
        return tuple(name for name in others if (self.me, name) not in self.network.cut)

    def handle(self, kind: type[PeerMessage], handler: Handler) -> None:
        """Register who answers messages of this kind."""
        self.network.handlers[self.me][kind] = handler

    async def send(self, to: RouterId, message: PeerMessage) -> None:
        """Send without waiting for an answer."""
        try:
            await self.network.carry(self.me, to, message)
        except PeerError:
            return

    async def ask(
        self, to: RouterId, message: PeerMessage, reply: type[Reply], timeout: Seconds
    ) -> Reply:
        """Send and wait for the answer.

        Raises:
            PeerError: There was none in time.
        """
        answer: PeerMessage | None = None
        with anyio.move_on_after(timeout):
            answer = await self.network.carry(self.me, to, message)
        if not isinstance(answer, reply):
            raise PeerError(f"{to} did not answer")
        return answer


@define
class MemoryEngine:
    """A backend server's memory of its attempts.

    Attributes:
        boot: Changes when it is restarted and forgets.
        attempts: What each attempt came to.
        closed: Attempts that may not start any more.
        down: Whether it cannot be asked.
        ran: How often each attempt was started.
    """

    boot: str = "boot-1"
    attempts: dict[AttemptId, AttemptStatus] = field(factory=dict)
    closed: set[AttemptId] = field(factory=set)
    down: bool = False
    ran: dict[AttemptId, int] = field(factory=dict)

    def start(self, attempt: AttemptId, prompt: Tokens, boot: str = "") -> bool:
        """Start an attempt, unless it was closed or is meant for another boot.

        A restart forgets which attempts were closed.  The boot that the intent
        named is what then keeps a late dispatch of a closed attempt out.
        """
        if attempt in self.closed or (boot and boot != self.boot):
            return False
        self.ran[attempt] = self.ran.get(attempt, 0) + 1
        self.attempts[attempt] = AttemptStatus(
            AttemptState.CANCELLED, prompt, 0, self.boot
        )
        return True

    def progress(self, attempt: AttemptId, tokens: Tokens, *, last: bool) -> None:
        """Generate tokens, unless it was closed before its end."""
        truth = self.attempts[attempt]
        if attempt in self.closed:
            return
        state = AttemptState.FINISHED if last else AttemptState.CANCELLED
        self.attempts[attempt] = evolve(truth, completion_tokens=tokens, state=state)

    def restart(self) -> None:
        """Forget everything, as a new process does."""
        self.boot += "+"
        self.attempts.clear()
        self.closed.clear()

    async def close_attempt(
        self, backend: BackendName, attempt: AttemptId
    ) -> AttemptStatus:
        """Cancel an attempt, forbid its later start, and learn what it came to."""
        del backend
        if self.down:
            return AttemptStatus(AttemptState.UNKNOWN)
        self.closed.add(attempt)
        never = AttemptStatus(AttemptState.NEVER_RAN, boot=self.boot)
        return self.attempts.get(attempt, never)


@define
class Router:
    """One router of the fleet: its money and the scope that ends it."""

    grant_manager: GrantManager
    scope: anyio.CancelScope

    def die(self) -> None:
        """Stop at once, without a word to anybody."""
        self.scope.cancel()


@define
class MemoryFleet:
    """Several routers over one table and one object store."""

    tasks: TaskGroup
    policy: Policy = field(factory=Policy)
    options: MoneyOptions = field(factory=MoneyOptions)
    table: MemoryTable = field(factory=MemoryTable)
    objects: MemoryObjects = field(factory=MemoryObjects)
    network: MemoryNetwork = field(factory=MemoryNetwork)
    engine: MemoryEngine = field(factory=MemoryEngine)
    routers: dict[RouterId, Router] = field(factory=dict)

    async def start(
        self,
        name: RouterId,
        table: MemoryTable | None = None,
        objects: MemoryObjects | None = None,
    ) -> GrantManager:
        """Start a router; a table or store of its own view may be given."""
        manager = GrantManager(
            name,
            table or self.table,
            objects or self.objects,
            lambda: self.policy,
            self.network.link(name),
            self.engine,
            options=self.options,
        )
        await manager.open()
        scope = anyio.CancelScope()
        self.routers[name] = Router(manager, scope)

        async def run() -> None:
            with scope:
                await manager.run()

        self.tasks.start_soon(run)
        await anyio.wait_all_tasks_blocked()
        return manager

    def kill(self, name: RouterId) -> None:
        """End a router without a word to anybody."""
        self.routers.pop(name).die()
        self.network.handlers.pop(name, None)

    def recovery(self, by: RouterId) -> Recovery:
        """Return the recovery as one router would do it."""
        return Recovery(self.table, self.objects, by, self.engine, lambda: self.policy)

    async def recover(self, router: RouterId, by: RouterId = "s.1") -> RecoveryReport:
        """Recover a router."""
        return await self.recovery(by).recover(router)

    async def top_up(self, workspace: WorkspaceName, amount: Tokens, key: str) -> None:
        """Top up a budget."""
        await top_up(self.table, workspace, key, amount)

    def budget(self, workspace: WorkspaceName) -> BudgetRow:
        """Return a budget, past all faults."""
        value = self.table.value(budget_key(workspace))
        return from_json(value, BudgetRow)

    async def dispatch(
        self, permit: Permit, tokens: Tokens, prompt: Tokens = 5
    ) -> bool:
        """Run an attempt to its end on the engine."""
        if not self.engine.start(permit.attempt, prompt):
            return False
        self.engine.progress(permit.attempt, tokens, last=True)
        return True


def order(
    workspace: WorkspaceName,
    request: str,
    hold: Tokens = 100,
    kind: RequestKind = RequestKind.CHAT,
    *,
    keyed: bool = False,
    digest: str = "d",
    boot: str = "boot-1",
) -> Order:
    """Make an order as the request path would."""
    booking = kind is RequestKind.BOOKING
    return Order(
        workspace=workspace,
        request=request,
        kind=kind,
        digest=digest,
        keyed=keyed,
        hold=hold,
        backend="engine",
        boot=boot,
        claim_needed=booking,
    )


def ended(
    permit: Permit, charge: Tokens, state: RequestState = RequestState.COMPLETE
) -> Outcome:
    """Make the outcome of a permit's run."""
    return Outcome(
        permit.order.workspace, permit.order.request, permit.attempt, state, charge
    )


Step = Callable[[], Awaitable[None]]
