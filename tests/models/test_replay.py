"""The models and the coordination parts do the same."""

from __future__ import annotations

from typing import Any

import pytest

from ebonyhold.models import FAMILIES
from ebonyhold.models._replay import Adapter, ReplayError, replay
from ebonyhold.models._replay_billing import BillingAdapter
from ebonyhold.models._replay_claims import ClaimAdapter
from ebonyhold.models._replay_configuration import ConfigAdapter
from ebonyhold.models._replay_grants import GrantAdapter
from ebonyhold.models._replay_leases import LeaseAdapter

ADAPTERS: dict[str, Adapter[Any]] = {
    "leases": LeaseAdapter(),
    "configuration": ConfigAdapter(),
    "grants": GrantAdapter(),
    "claims": ClaimAdapter(),
    "billing": BillingAdapter(),
}

FEWEST_STATES = {"billing": 500}
"""The model of billing is smaller; the others must reach a thousand states."""


@pytest.mark.parametrize("name", ADAPTERS)
def test_the_parts_follow_the_model(name: str) -> None:
    model = FAMILIES[name].build("", False)
    report = replay(model, ADAPTERS[name], limit=4000)
    assert report.edges > report.states > FEWEST_STATES.get(name, 1000)


@pytest.mark.parametrize(
    ("name", "guard"),
    [
        ("leases", "read back"),
        ("configuration", "compare-and-set on the head"),
        ("configuration", "history row with the publication's key"),
        ("configuration", "adopt only what is larger"),
        ("claims", "an open intent becomes unknown"),
        ("claims", "not run is filed for the own claim only"),
        ("billing", "one row for each request"),
        ("billing", "an amended bill pays the difference"),
        ("billing", "only a better outcome amends"),
        ("grants", "seal the table's chain"),
        ("grants", "count a transfer once"),
        ("grants", "lapse a transfer only when its receiver is closed"),
        ("grants", "check what remains when drawing"),
    ],
)
def test_the_parts_do_not_follow_a_broken_model(name: str, guard: str) -> None:
    model = FAMILIES[name].build(guard, False)
    with pytest.raises(ReplayError):
        replay(model, ADAPTERS[name], limit=20_000)


@pytest.mark.deep
@pytest.mark.parametrize("name", ADAPTERS)
def test_the_parts_follow_the_model_everywhere(name: str) -> None:
    model = FAMILIES[name].build("", False)
    report = replay(model, ADAPTERS[name])
    assert report.edges > report.states
