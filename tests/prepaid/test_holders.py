"""The choice of a workspace's holders among the routers."""

from __future__ import annotations

from collections import Counter

import pytest

from ebonyhold.prepaid import HolderTable, choose_holders

WORKSPACES = [f"workspace-{n}" for n in range(40)]


def fleet(size: int, domains: int) -> dict[str, str]:
    """Return routers spread evenly over failure domains."""
    return {f"vm-{n}": f"domain-{n % domains}" for n in range(size)}


@pytest.mark.parametrize(
    ("size", "domains", "in_each"),
    [(84, 3, 2), (82, 4, 2), (195, 6, 1), (330, 17, 1), (13, 1, 6), (23, 6, 1)],
)
def test_each_domain_of_a_large_fleet_has_holders(
    size: int, domains: int, in_each: int
) -> None:
    """Guards against a domain that has no tokens while it is cut off."""
    routers = fleet(size, domains)
    for workspace in WORKSPACES:
        chosen = choose_holders(workspace, routers)
        found = Counter(routers[name] for name in chosen)
        assert found == {f"domain-{n}": in_each for n in range(domains)}


@pytest.mark.parametrize("size", [1, 6, 9, 12])
def test_all_routers_of_a_small_fleet_are_holders(size: int) -> None:
    routers = fleet(size, 4)
    assert set(choose_holders("acme", routers)) == set(routers)


def test_holders_are_spread_over_the_fleet() -> None:
    """Guards against a router that is overloaded as the holder of many workspaces."""
    routers = fleet(195, 6)
    held = Counter(
        name for space in WORKSPACES for name in choose_holders(space, routers)
    )
    assert max(held.values()) <= 6


def test_leaving_router_changes_only_holders_of_its_workspaces() -> None:
    """Guards against moving the grants of other workspaces when a router restarts."""
    routers = fleet(84, 3)
    others = {name: domain for name, domain in routers.items() if name != "vm-7"}
    for workspace in WORKSPACES:
        before = choose_holders(workspace, routers)
        after = choose_holders(workspace, others)
        if "vm-7" in before:
            assert len(set(before) - set(after)) == 1
        else:
            assert before == after


def test_order_of_the_fleet_does_not_matter() -> None:
    """Routers read the fleet in different orders, but must choose the same holders."""
    routers = fleet(84, 3)
    reversed_fleet = dict(reversed(routers.items()))
    for workspace in WORKSPACES:
        assert choose_holders(workspace, routers) == choose_holders(
            workspace, reversed_fleet
        )


def test_table_lists_own_domain_first_and_follows_the_fleet() -> None:
    table = HolderTable("vm-0", "domain-0")
    assert table.holders("acme").own
    assert table.holders("acme").whole_fleet
    routers = fleet(84, 3)
    table.update(routers)
    holders = table.holders("acme")
    assert [routers[name] for name in holders.names[:2]] == ["domain-0"] * 2
    assert not holders.whole_fleet
    assert holders.own == ("vm-0" in holders.names)
