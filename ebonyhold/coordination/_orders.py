"""Which engine is ordered to load or drop which model, without flapping.

One router at a time decides, under a lease with a fencing number.  Engines that
check the number refuse an order of an earlier holder.  Others obey whoever
speaks last, so a holder that was paused between its check and its send may be
obeyed much later.  Nothing can stop that order; what is done instead:

- Loading is harmless when it comes late.  Dropping is what may hurt, so it is
  written down in the table before it is sent, and struck out once answered.
- A drop that was written down and not answered may still happen at any time.
  Whoever holds the lease later does not count on that engine for that model.
  Where the engine checks numbers, a load with the later number ends the doubt:
  from then on the engine refuses the drop.  Elsewhere it ends after `doubt_for`;
  a drop that comes later still is no worse than an engine that restarts empty.
- Orders follow from what engines report, over and over; a late order that took
  effect shows in the next report and is made good by the next order.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from enum import Enum

from attrs import define, field, frozen

from ebonyhold.types import BackendName, Seconds


class Action(Enum):
    """What an engine is told to do with a model."""

    LOAD = "load"
    UNLOAD = "unload"


@frozen
class EngineOrder:
    """An order to one engine.

    Attributes:
        backend: The engine.
        action: What to do.
        model: With which model.
    """

    backend: BackendName
    action: Action
    model: str


@frozen
class OrderRow:
    """A drop that was decided, at ``order/{backend}/{fencing}``, until answered.

    Attributes:
        order: The drop.
        fencing: The number that goes with it.
        at: When it was decided, in seconds since the epoch.
    """

    order: EngineOrder
    fencing: int
    at: Seconds = 0.0


@frozen
class EngineView:
    """What is known of one engine.

    Attributes:
        name: The engine.
        domain: Its failure domain.
        slots: Requests it runs at once.
        load: Requests it runs and queues.
        loaded: Models it reports.
        allowed: Models it may hold.
        usable: Whether it may get new work.
        checks_fencing: Whether it refuses orders with an old fencing number.
    """

    name: BackendName
    domain: str
    slots: int
    load: int
    loaded: frozenset[str]
    allowed: frozenset[str]
    usable: bool = True
    checks_fencing: bool = False


@frozen
class PlacementPolicy:
    """When models are loaded and dropped.

    Attributes:
        least: Engines that each model should have, in several failure domains.
        full: The part of the slots in use above which one more engine loads.
        idle: The part of the slots in use below which one engine drops.
        up_after: How long `full` must last, in seconds.
        down_after: How long `idle` must last, in seconds.
        load_time: How long a load may take before it is ordered again, seconds.
        most_loading: Loads at once; the weight store's rate is shared by them.
        most_models: Models that one engine holds.
        doubt_for: How long a drop without an answer is expected, in seconds.
    """

    least: int = 2
    full: float = 0.8
    idle: float = 0.25
    up_after: Seconds = 10.0
    down_after: Seconds = 600.0
    load_time: Seconds = 120.0
    most_loading: int = 1
    most_models: int = 2
    doubt_for: Seconds = 3600.0


@define
class Placement:
    """Decides about orders; it belongs to the task that holds the lease.

    Attributes:
        policy: Its thresholds.
        loading: Loads that were ordered and are not reported yet, and when.
        since: Since when a model has wanted more engines, or fewer.
    """

    policy: PlacementPolicy = field(factory=PlacementPolicy)
    loading: dict[EngineOrder, Seconds] = field(factory=dict)
    since: dict[tuple[str, Action], Seconds] = field(factory=dict)

    def decide(
        self,
        models: Sequence[str],
        engines: Sequence[EngineView],
        unanswered: Sequence[OrderRow],
        now: Seconds,
    ) -> EngineOrder | None:
        """Return the next order, or None when all is as it should be.

        Args:
            models: The models of the document.
            engines: All engines, as reported.
            unanswered: Drops that may still happen.
            now: The time.
        """
        self.forget_loading(engines, now)
        doubted = {(row.order.backend, row.order.model) for row in unanswered}
        for model in models:
            holders = [
                engine for engine in engines if model in engine.loaded and engine.usable
            ]
            sure = [engine for engine in holders if (engine.name, model) not in doubted]
            order = self.decide_model(model, engines, holders, sure, now)
            if order is not None:
                return order
        return None

    def decide_model(
        self,
        model: str,
        engines: Sequence[EngineView],
        holders: Sequence[EngineView],
        sure: Sequence[EngineView],
        now: Seconds,
    ) -> EngineOrder | None:
        """Return the next order about one model."""
        underway = sum(order.model == model for order in self.loading)
        use = share_in_use(holders)
        more = self.lasting(
            model, Action.LOAD, use > self.policy.full, self.policy.up_after, now
        )
        fewer = self.lasting(
            model, Action.UNLOAD, use < self.policy.idle, self.policy.down_after, now
        )
        if len(sure) + underway < self.policy.least or (more and not underway):
            return self.load(model, engines, sure, now)
        if fewer and len(sure) > self.policy.least:
            return self.drop(model, sure)
        return None

    def lasting(
        self, model: str, action: Action, true: bool, after: Seconds, now: Seconds
    ) -> bool:
        """Return whether a condition has held for long enough.

        Demand that swings around a threshold would otherwise load and drop the
        same model again and again, each time through the weight store.
        """
        key = (model, action)
        if not true:
            self.since.pop(key, None)
            return False
        return now - self.since.setdefault(key, now) >= after

    def load(
        self,
        model: str,
        engines: Sequence[EngineView],
        holders: Sequence[EngineView],
        now: Seconds,
    ) -> EngineOrder | None:
        """Return the order to load a model where it does most good."""
        if len(self.loading) >= self.policy.most_loading:
            return None
        able = [
            engine
            for engine in engines
            if engine.usable
            and model in engine.allowed - engine.loaded
            and len(engine.loaded) < self.policy.most_models
        ]
        if not able:
            return None
        taken = [engine.domain for engine in holders]
        chosen = min(
            able,
            key=lambda item: (
                taken.count(item.domain),
                len(item.loaded),
                item.load / item.slots,
                item.name,
            ),
        )
        order = EngineOrder(chosen.name, Action.LOAD, model)
        self.loading[order] = now
        self.since.pop((model, Action.LOAD), None)
        return order

    def drop(self, model: str, holders: Sequence[EngineView]) -> EngineOrder | None:
        """Return the order to drop a model where it is missed least."""
        several = [engine for engine in holders if len(engine.loaded) > 1]
        if not several:
            return None
        domains = [engine.domain for engine in holders]
        chosen = max(several, key=lambda item: (domains.count(item.domain), -item.load))
        self.since.pop((model, Action.UNLOAD), None)
        return EngineOrder(chosen.name, Action.UNLOAD, model)

    def fence(
        self, engines: Sequence[EngineView], unanswered: Sequence[OrderRow]
    ) -> EngineOrder | None:
        """Return a load that makes an engine refuse an earlier holder's drop."""
        checking = {item.name for item in engines if item.checks_fencing}
        for row in unanswered:
            if row.order.backend in checking:
                return EngineOrder(row.order.backend, Action.LOAD, row.order.model)
        return None

    def forget_loading(self, engines: Sequence[EngineView], now: Seconds) -> None:
        """Forget loads that have ended, or that take too long to be believed."""
        loaded = {engine.name: engine.loaded for engine in engines}
        self.loading = {
            order: at
            for order, at in self.loading.items()
            if order.model not in loaded.get(order.backend, frozenset())
            and now - at < self.policy.load_time
        }


def share_in_use(engines: Sequence[EngineView]) -> float:
    """Return the part of some engines' slots that is in use; inf without any."""
    slots = sum(engine.slots for engine in engines)
    return sum(engine.load for engine in engines) / slots if slots else math.inf
