"""Placement of models: which engine loads or unloads which model, without flapping.

One router at a time decides, under a lease with a fencing number.  Engines that check
the number refuse an order of an earlier lease holder.  Other engines execute every
order.  A lease holder that was paused between its check of the lease and the sending of
an order may thus have that order executed much later.  The effects are limited:

- A late load does no harm, but a late unload may.  So an unload is written to the table
  before it is sent, and deleted from the table once the engine has answered.
- An unload in the table that was not answered may still be executed at any time.  So
  later lease holders do not count that engine as serving the model.  If the engine
  checks fencing numbers, they send it a load with a higher number, after which it
  refuses the unload and counts again.  Otherwise it counts again after `in_doubt_for`;
  an unload executed even later has the same effect as an engine that restarts without
  models.
- Orders are derived repeatedly from the engines' reports.  The effect of a late order
  appears in the next report and is corrected by the next order.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from enum import Enum

from attrs import define, field, frozen

from ebonyhold.types import BackendName, Seconds


class Action(Enum):
    """What an engine is ordered to do with a model."""

    LOAD = "load"
    UNLOAD = "unload"


@frozen
class EngineOrder:
    """An order to one engine.

    Attributes:
        backend: The engine.
        action: What to do.
        model: The model to load or unload.
    """

    backend: BackendName
    action: Action
    model: str


@frozen
class OrderRow:
    """An unanswered order to unload, at ``order/{backend}/{fencing}``.

    Attributes:
        order: The order.
        fencing: The fencing number sent with it.
        at: When it was decided, in seconds since the epoch.
    """

    order: EngineOrder
    fencing: int
    at: Seconds = 0.0


@frozen
class EngineView:
    """The reported state of one engine.

    Attributes:
        name: The engine.
        domain: Its failure domain.
        slots: The maximum number of requests that it runs at the same time.
        load: The number of requests running and queued.
        loaded: Models that it reports as loaded.
        allowed: Models that it may load.
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
    """When models are loaded and unloaded.

    Attributes:
        min_engines: The minimum number of engines for each model, spread over the
            failure domains.
        load_above: The load per slot above which one more engine loads a model.
        unload_below: The load per slot below which one engine unloads it.
        up_after: How long the load must stay above `load_above`, in seconds.
        down_after: How long the load must stay below `unload_below`, in seconds.
        load_time: How long a model may take to load before it is ordered again, in
            seconds.
        max_loading: The maximum number of models loading at the same time; they share
            the bandwidth of the weight store.
        max_models: The maximum number of models on one engine.
        in_doubt_for: How long an unanswered unload may still be executed, in seconds.
    """

    min_engines: int = 2
    load_above: float = 0.8
    unload_below: float = 0.25
    up_after: Seconds = 10.0
    down_after: Seconds = 600.0
    load_time: Seconds = 120.0
    max_loading: int = 1
    max_models: int = 2
    in_doubt_for: Seconds = 3600.0


@define
class Placement:
    """Decides on orders; owned by the task that holds the lease.

    Attributes:
        policy: The thresholds and limits.
        loading: Ordered loads that the engines have not reported as done, with the
            times of the orders.
        since: For a model and an action, since when the action's condition has held.
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
        """Return the next order, or None if none is needed.

        Args:
            models: The models of the configuration document.
            engines: All engines, as reported.
            unanswered: Unloads that may still be executed.
            now: The time, in seconds.
        """
        self.forget_loading(engines, now)
        in_doubt = {(row.order.backend, row.order.model) for row in unanswered}
        for model in models:
            loaded = [
                engine for engine in engines if model in engine.loaded and engine.usable
            ]
            confirmed = [
                engine for engine in loaded if (engine.name, model) not in in_doubt
            ]
            order = self.decide_model(model, engines, loaded, confirmed, now)
            if order is not None:
                return order
        return None

    def decide_model(
        self,
        model: str,
        engines: Sequence[EngineView],
        loaded: Sequence[EngineView],
        confirmed: Sequence[EngineView],
        now: Seconds,
    ) -> EngineOrder | None:
        """Return the next order for one model, or None if none is needed.

        Args:
            model: The model.
            engines: All engines, as reported.
            loaded: The usable engines that have loaded it.
            confirmed: Those engines in `loaded` that have no unanswered unload of it.
            now: The time, in seconds.
        """
        loading = sum(order.model == model for order in self.loading)
        usage = share_in_use(loaded)
        scale_up = self.has_lasted(
            model,
            Action.LOAD,
            usage > self.policy.load_above,
            self.policy.up_after,
            now,
        )
        scale_down = self.has_lasted(
            model,
            Action.UNLOAD,
            usage < self.policy.unload_below,
            self.policy.down_after,
            now,
        )
        if len(confirmed) + loading < self.policy.min_engines or (
            scale_up and not loading
        ):
            return self.load(model, engines, confirmed, now)
        if scale_down and len(confirmed) > self.policy.min_engines:
            return self.unload(model, confirmed)
        return None

    def has_lasted(
        self, model: str, action: Action, condition: bool, after: Seconds, now: Seconds
    ) -> bool:
        """Return whether a condition has held for the required time.

        Demand that fluctuates around a threshold would otherwise load and unload the
        same model repeatedly, with a transfer from the weight store each time.
        """
        key = (model, action)
        if not condition:
            self.since.pop(key, None)
            return False
        return now - self.since.setdefault(key, now) >= after

    def load(
        self,
        model: str,
        engines: Sequence[EngineView],
        loaded: Sequence[EngineView],
        now: Seconds,
    ) -> EngineOrder | None:
        """Return the order to load a model, or None if no engine may load it now.

        The chosen engine is the one whose failure domain has the fewest engines in
        `loaded`; ties are broken by the fewest models, then by the lowest load per
        slot.
        """
        if len(self.loading) >= self.policy.max_loading:
            return None
        candidates = [
            engine
            for engine in engines
            if engine.usable
            and model in engine.allowed - engine.loaded
            and len(engine.loaded) < self.policy.max_models
        ]
        if not candidates:
            return None
        used_domains = [engine.domain for engine in loaded]
        chosen = min(
            candidates,
            key=lambda item: (
                used_domains.count(item.domain),
                len(item.loaded),
                item.load / item.slots,
                item.name,
            ),
        )
        order = EngineOrder(chosen.name, Action.LOAD, model)
        self.loading[order] = now
        self.since.pop((model, Action.LOAD), None)
        return order

    def unload(self, model: str, loaded: Sequence[EngineView]) -> EngineOrder | None:
        """Return the order to unload a model, or None if no engine may unload it.

        The chosen engine is the one whose failure domain has the most engines in
        `loaded`; ties are broken by the lowest load.  An engine that has no other model
        loaded is not chosen.
        """
        candidates = [engine for engine in loaded if len(engine.loaded) > 1]
        if not candidates:
            return None
        domains = [engine.domain for engine in loaded]
        chosen = max(
            candidates, key=lambda item: (domains.count(item.domain), -item.load)
        )
        self.since.pop((model, Action.UNLOAD), None)
        return EngineOrder(chosen.name, Action.UNLOAD, model)

    def fence(
        self, engines: Sequence[EngineView], unanswered: Sequence[OrderRow]
    ) -> EngineOrder | None:
        """Return a load that makes an engine refuse an unanswered unload.

        The caller sends the load with its own fencing number, which is higher than that
        of the unload.  The result is None if no engine with an unanswered unload checks
        these numbers.
        """
        checking = {item.name for item in engines if item.checks_fencing}
        for row in unanswered:
            if row.order.backend in checking:
                return EngineOrder(row.order.backend, Action.LOAD, row.order.model)
        return None

    def forget_loading(self, engines: Sequence[EngineView], now: Seconds) -> None:
        """Remove loads that were reported as done or are older than `load_time`."""
        loaded = {engine.name: engine.loaded for engine in engines}
        self.loading = {
            order: at
            for order, at in self.loading.items()
            if order.model not in loaded.get(order.backend, frozenset())
            and now - at < self.policy.load_time
        }


def share_in_use(engines: Sequence[EngineView]) -> float:
    """Return the engines' load per slot; infinite without slots.

    It may be above 1, because the load includes queued requests.
    """
    slots = sum(engine.slots for engine in engines)
    return sum(engine.load for engine in engines) / slots if slots else math.inf
