"""Run cases of the table by hand: ``FIRST_SEED SEEDS [CASE ...]``."""

from __future__ import annotations

import sys

import anyio

from tests.platform.stops import LONG_CASES, run_cases


def main() -> int:
    """Run the named cases, or all, and print the violations; return 1 if any."""
    first, count = int(sys.argv[1]), int(sys.argv[2])
    names = sys.argv[3:] or [case.name for case in LONG_CASES]
    cases = [case for case in LONG_CASES if case.name in names]
    found = anyio.run(run_cases, cases, range(first, first + count))
    for name, violations in found.items():
        print(f"{name}: {len(violations)} broken")
        for item in violations:
            print(f"  {item.guarantee.name} {item.text}")
    return 1 if any(found.values()) else 0


if __name__ == "__main__":
    sys.exit(main())
