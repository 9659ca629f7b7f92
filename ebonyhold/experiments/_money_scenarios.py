"""The scenarios that grant policies are compared on, each from a seed."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator

from attrs import field, frozen

from ebonyhold.types import Seconds, Tokens, WorkspaceName

ROUTERS = 6
"""As many entry VMs as the smaller deployment has."""

MINUTE: Seconds = 60.0


@frozen
class Arrival:
    """One request: when, whose, where, and what it will turn out to cost."""

    at: Seconds
    workspace: WorkspaceName
    router: int
    hold: Tokens
    charge: Tokens
    duration: Seconds


@frozen
class Event:
    """Something that happens to the fleet.

    Attributes:
        at: When, in seconds.
        what: ``table_down``, ``table_up``, ``split``, ``heal``, ``top_up``,
            ``kill`` or ``replace``.
        router: Which router, where it is one.
        workspace: Whose budget, where it is one.
        amount: Tokens of a top-up.
    """

    at: Seconds
    what: str
    router: int = 0
    workspace: WorkspaceName = ""
    amount: Tokens = 0


@frozen
class Scenario:
    """A history of requests and events.

    Attributes:
        length: How long requests arrive, in seconds.
        prepaid: First top-up of each workspace.
        arrivals: The requests in order.
        events: What happens to the fleet, in order.
    """

    length: Seconds
    prepaid: dict[WorkspaceName, Tokens]
    arrivals: tuple[Arrival, ...]
    events: tuple[Event, ...] = ()


scenarios: dict[str, Callable[[random.Random], Scenario]] = {}
"""The registered scenarios by name."""

Make = Callable[[random.Random], Scenario]


def scenario(name: str) -> Callable[[Make], Make]:
    """Register a scenario under a name."""

    def register(make: Make) -> Make:
        scenarios[name] = make
        return make

    return register


@frozen
class Traffic:
    """Requests of one stretch of time.

    Attributes:
        start: When it begins, in seconds.
        end: When it ends.
        rate: Requests a second.
        weights: How the workspaces share them.
        routers: How the routers share them; evenly when empty.
    """

    start: Seconds
    end: Seconds
    rate: float
    weights: dict[WorkspaceName, float]
    routers: tuple[float, ...] = field(factory=tuple)

    def arrivals(self, chance: random.Random) -> Iterator[Arrival]:
        """Generate the requests."""
        names = list(self.weights)
        shares = list(self.weights.values())
        routers = self.routers or (1.0,) * ROUTERS
        at = self.start + chance.expovariate(self.rate)
        while at < self.end:
            (workspace,) = chance.choices(names, shares)
            (router,) = chance.choices(range(ROUTERS), routers)
            hold = chance.randrange(400, 2400)
            charge = int(hold * chance.uniform(0.15, 0.7))
            yield Arrival(
                at, workspace, router, hold, charge, chance.uniform(1.0, 12.0)
            )
            at += chance.expovariate(self.rate)


EVEN = {"a": 3.0, "b": 3.0, "c": 1.0, "d": 1.0, "e": 0.5, "f": 0.5}
"""Two large workspaces and four small ones."""

ONE_LARGE = {"a": 12.0, "b": 0.5, "c": 0.5, "d": 0.5}


def compose(
    chance: random.Random,
    traffic: tuple[Traffic, ...],
    plenty: float,
    events: tuple[Event, ...] = (),
) -> Scenario:
    """Make a scenario whose budgets are a multiple of what will be asked.

    Args:
        chance: The source of chance.
        traffic: The stretches of requests.
        plenty: Prepaid tokens for each token that all requests would cost.
        events: What happens to the fleet.
    """
    arrivals = sorted(
        (one for stretch in traffic for one in stretch.arrivals(chance)),
        key=lambda one: one.at,
    )
    asked: dict[WorkspaceName, Tokens] = {}
    for stretch in traffic:
        for name in stretch.weights:
            asked.setdefault(name, 0)
    for one in arrivals:
        asked[one.workspace] += one.charge
    prepaid = {name: int(plenty * tokens) + 5000 for name, tokens in asked.items()}
    length = max(stretch.end for stretch in traffic)
    return Scenario(length, prepaid, tuple(arrivals), events)


@scenario("steady")
def steady(chance: random.Random) -> Scenario:
    """Ordinary traffic, with budgets for three times as much."""
    return compose(chance, (Traffic(0, 10 * MINUTE, 0.6, EVEN),), 3.0)


@scenario("dawn")
def dawn(chance: random.Random) -> Scenario:
    """A quiet night, then a minute of many requests at once."""
    quiet = Traffic(0, 10 * MINUTE, 0.08, EVEN)
    burst = Traffic(10 * MINUTE, 11 * MINUTE, 4.0, EVEN)
    after = Traffic(11 * MINUTE, 14 * MINUTE, 0.5, EVEN)
    return compose(chance, (quiet, burst, after), 1.5)


@scenario("one_large")
def one_large(chance: random.Random) -> Scenario:
    """One workspace sends nearly everything, and its budget nearly fits."""
    return compose(chance, (Traffic(0, 10 * MINUTE, 0.6, ONE_LARGE),), 1.1)


@scenario("near_empty")
def near_empty(chance: random.Random) -> Scenario:
    """Budgets for two thirds of what is asked, so all of them run out."""
    return compose(chance, (Traffic(0, 10 * MINUTE, 0.6, EVEN),), 0.65)


@scenario("table_out")
def table_out(chance: random.Random) -> Scenario:
    """The table is down for an hour; the object store is up."""
    events = (Event(20 * MINUTE, "table_down"), Event(80 * MINUTE, "table_up"))
    return compose(chance, (Traffic(0, 90 * MINUTE, 0.08, EVEN),), 2.0, events)


@scenario("dusk")
def dusk(chance: random.Random) -> Scenario:
    """The table is down for an hour, and the large workspace's orders rise.

    The balancer sends most of them to two routers.
    """
    lopsided = (6.0, 6.0, 1.0, 1.0, 1.0, 1.0)
    traffic = (
        Traffic(0, 20 * MINUTE, 0.1, ONE_LARGE),
        Traffic(20 * MINUTE, 60 * MINUTE, 0.05, ONE_LARGE, lopsided),
        Traffic(60 * MINUTE, 80 * MINUTE, 0.15, ONE_LARGE, lopsided),
    )
    events = (Event(20 * MINUTE, "table_down"), Event(80 * MINUTE, "table_up"))
    return compose(chance, traffic, 2.0, events)


@scenario("split")
def split(chance: random.Random) -> Scenario:
    """Half of the routers lose the table and the other half for 20 minutes."""
    events = (Event(10 * MINUTE, "split"), Event(30 * MINUTE, "heal"))
    return compose(chance, (Traffic(0, 35 * MINUTE, 0.2, EVEN),), 1.5, events)


@scenario("split_top_up")
def split_top_up(chance: random.Random) -> Scenario:
    """The same, with small budgets that are topped up during the split."""
    made = compose(chance, (Traffic(0, 35 * MINUTE, 0.2, EVEN),), 0.55)
    events = [Event(10 * MINUTE, "split"), Event(30 * MINUTE, "heal")]
    for name, tokens in made.prepaid.items():
        events.append(
            Event(18 * MINUTE, "top_up", workspace=name, amount=int(tokens * 0.8))
        )
    events.sort(key=lambda event: event.at)
    return Scenario(made.length, made.prepaid, made.arrivals, tuple(events))


@scenario("replaced")
def replaced(chance: random.Random) -> Scenario:
    """All routers are replaced, one every minute, with notice."""
    events = tuple(
        Event((2 + number) * MINUTE, "replace", router=number)
        for number in range(ROUTERS)
    )
    return compose(chance, (Traffic(0, 10 * MINUTE, 0.6, EVEN),), 1.2, events)


@scenario("deaths")
def deaths(chance: random.Random) -> Scenario:
    """Four routers die without notice; each is recovered 15 seconds later."""
    events = tuple(
        Event((2 + 2 * number) * MINUTE, "kill", router=number) for number in range(4)
    )
    return compose(chance, (Traffic(0, 10 * MINUTE, 0.6, EVEN),), 1.2, events)
