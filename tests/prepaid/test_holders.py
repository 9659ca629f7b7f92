"""Which routers hold a workspace's tokens."""

from __future__ import annotations

from collections import Counter

import pytest

from ebonyhold.prepaid import HolderTable, choose_holders

WORKSPACES = [f"workspace-{n}" for n in range(40)]


def fleet(size: int, domains: int) -> dict[str, str]:
    """Return routers that are spread evenly over failure domains."""
    return {f"vm-{n}": f"domain-{n % domains}" for n in range(size)}


@pytest.mark.parametrize(
    ("size", "domains", "in_each"),
    [(84, 3, 2), (82, 4, 2), (195, 6, 1), (330, 17, 1), (13, 1, 6), (23, 6, 1)],
)
def test_each_domain_of_a_large_fleet_has_holders(
    size: int, domains: int, in_each: int
) -> None:
    """Callers of a domain that is cut off would find no tokens in it."""
    routers = fleet(size, domains)
    for workspace in WORKSPACES:
        chosen = choose_holders(workspace, routers)
        found = Counter(routers[name] for name in chosen)
        assert found == {f"domain-{n}": in_each for n in range(domains)}


@pytest.mark.parametrize("size", [1, 6, 9, 12])
def test_all_routers_of_a_small_fleet_hold(size: int) -> None:
    routers = fleet(size, 4)
    assert set(choose_holders("acme", routers)) == set(routers)


def test_holding_is_spread_over_the_fleet() -> None:
    """A router that held many of the workspaces would spend its time on answers."""
    routers = fleet(195, 6)
    held = Counter(
        name for space in WORKSPACES for name in choose_holders(space, routers)
    )
    assert max(held.values()) <= 6


def test_a_router_that_goes_changes_the_holders_of_its_own_workspaces_only() -> None:
    """Grants would move between routers whenever any of them restarts."""
    routers = fleet(84, 3)
    rest = {name: domain for name, domain in routers.items() if name != "vm-7"}
    for workspace in WORKSPACES:
        before = choose_holders(workspace, routers)
        after = choose_holders(workspace, rest)
        if "vm-7" in before:
            assert len(set(before) - set(after)) == 1
        else:
            assert before == after


def test_the_order_of_the_rows_does_not_matter() -> None:
    """Two routers would ask different holders for the same tokens."""
    routers = fleet(84, 3)
    turned = dict(reversed(routers.items()))
    for workspace in WORKSPACES:
        assert choose_holders(workspace, routers) == choose_holders(workspace, turned)


def test_a_table_names_the_own_domain_first_and_follows_the_fleet() -> None:
    table = HolderTable("vm-0", "domain-0")
    assert table.holders("acme").own
    assert table.holders("acme").whole_fleet
    routers = fleet(84, 3)
    table.update(routers)
    holders = table.holders("acme")
    assert [routers[name] for name in holders.names[:2]] == ["domain-0"] * 2
    assert not holders.whole_fleet
    assert holders.own == ("vm-0" in holders.names)
