"""Where load is shared."""

from __future__ import annotations

import pytest

from ebonyhold.coordination import LoadScope, ServiceSize

TEXT_A = ServiceSize("text", 96, 258_964)
TEXT_B = ServiceSize("text", 64, 565_833)
ROOMY = ServiceSize("text", 16, 16 * 16_384)
PLAIN = ServiceSize("plain")


@pytest.mark.parametrize(
    ("services", "counts", "names"),
    [
        ((TEXT_A, PLAIN), [(90, 33)], {"text", "plain"}),
        ((TEXT_B, PLAIN), [(131, 33)], {"text", "plain"}),
        ((ROOMY, PLAIN), [(131, 33)], set()),
        ((ServiceSize("text", 0, 4_096), PLAIN), [(131, 33)], set()),
        ((PLAIN,), [(131, 33)], set()),
        ((), [(131, 33)], set()),
        ((TEXT_A, PLAIN), [(65, 33)], set()),
        ((TEXT_A, PLAIN), [(66, 33)], {"text", "plain"}),
        ((TEXT_A, PLAIN), [(90, 0)], set()),
        # Half of the fleet is lost.
        ((TEXT_A, PLAIN), [(90, 33), (45, 33)], {"text", "plain"}),
        # Servers are replaced, and the earlier ones are listed still.
        ((TEXT_A, PLAIN), [(90, 33), (90, 63)], {"text", "plain"}),
        # The routers are not counted reliably yet.
        ((TEXT_A, PLAIN), [(0, 10), (60, 33)], set()),
        # All servers but a few are gone for a while.
        ((TEXT_A, PLAIN), [(23, 33), (23, 3)], set()),
    ],
)
def test_services_whose_load_is_shared(
    services: tuple[ServiceSize, ...], counts: list[tuple[int, int]], names: set[str]
) -> None:
    scope = LoadScope()
    for routers, servers in counts:
        scope.update(services, routers, servers)
    assert scope.services == names


def test_configuration_without_memory_ends_sharing() -> None:
    scope = LoadScope()
    assert scope.update((TEXT_A,), 90, 33)
    assert not scope.update((TEXT_A,), 60, 33)
    assert scope.update((PLAIN,), 90, 33)
    assert scope.services == frozenset()
