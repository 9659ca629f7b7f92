"""Run one seed: roll-outs and restarts beside all faults of gateways and the store."""

from __future__ import annotations

from pathlib import Path

import anyio
from attrs import define, field

from tests.platform.kit import configuration, log_errors
from tests.platform.soak._checks import check_answer
from tests.platform.soak._run import CALLERS, ENGINES, GATEWAYS, PROGRAM, SoakRun
from tests.platform.streams import MAX_MIXED, Stream, StreamTry, call, mixed

STREAM_CALLERS = 12
"""Number of callers who take up streams."""

START_TIME = 2.5
"""Seconds from the start of the gateways to the first requests."""

TURN_PAUSE = (0.3, 3.0)
"""Range of seconds between two restarts with a version that may be another one."""

CALM_TIME = 8.0
"""Seconds after the faults, at the end of which streams must be taken up again."""

VERSIONS = ("v1", "v2", "v3")


@define(eq=False)
class VersionSoak(SoakRun):
    """A run with one seed.

    Attributes:
        cuts_links: Never, since a link accepts connections for an engine that is down.
        streams: The streams whose callers take them up.
    """

    cuts_links: bool = False
    streams: list[Stream] = field(factory=list)

    async def run_traffic(self) -> list[str]:
        """Inject faults while engines turn their versions; check the streams."""
        await self.write("op//config", configuration())
        async with anyio.create_task_group() as tasks:
            self.start_fleet(tasks, GATEWAYS)
            await anyio.sleep(START_TIME)
            for number in range(CALLERS):
                tasks.start_soon(self.call, number)
            for number in range(STREAM_CALLERS):
                name = f"{self.seed}/{number}"
                tasks.start_soon(call, self.gateways, name, self.streams)
            with anyio.move_on_after(self.seconds):
                async with anyio.create_task_group() as sources:
                    sources.start_soon(self.inject_faults, 0)
                    sources.start_soon(self.run_planned_work)
                    sources.start_soon(self.turn_versions)
            await self.end_faults()
            await anyio.sleep(CALM_TIME)
            tasks.cancel_scope.cancel()
        violations = self.check_streams()
        for request in self.requests:
            # How often it ran is another soak's matter.
            violations += check_answer(request, runs=0)
        for gateway in self.gateways:
            violations += log_errors(gateway.log)
        return violations

    async def turn_versions(self) -> None:
        """Restart engines with some version, under their names or not, until cancelled.

        A name grows with each new one, so that all runs of an engine keep its table of
        statements.
        """
        rng = self.rng("versions")
        while True:
            await anyio.sleep(rng.uniform(*TURN_PAUSE))
            engine, version = rng.randrange(ENGINES), rng.choice(VERSIONS)
            name = rng.choice(["", " same name"])
            await self.write(f"test-versions//i-{engine}", version + name)
            await self.write(f"test-restart//i-{engine}", rng.random())

    def tries(self) -> list[StreamTry]:
        """Return all requests for streams."""
        return [one for stream in self.streams for one in stream.tries]

    def check_streams(self) -> list[str]:
        """Return the violations of the streams."""
        found = mixed(self.streams)
        violations = []
        if len(found) > MAX_MIXED:
            violations.append(f"{len(found)} streams of several versions: {found[:3]}")
        last = max((one.sent_at for one in self.tries()), default=0.0)
        late = [one for one in self.tries() if one.sent_at > last - CALM_TIME / 4]
        taken_up = [one for one in late if one.taken_up]
        if not any(one.goes_on for one in taken_up):
            violations.append(f"of {len(taken_up)} streams taken up none goes on")
        return violations


async def run_seed(
    seed: int, seconds: float, folder: Path, program: str = PROGRAM
) -> list[str]:
    """Run one seed; print a summary and the violations, and return the violations."""
    soak = VersionSoak(seed, seconds, folder, program)
    violations = await soak.run()
    taken_up = [one for one in soak.tries() if one.taken_up]
    counts = {
        "streams": len(soak.streams),
        "mixed": len(mixed(soak.streams)),
        "taken up": len(taken_up),
        "go on": sum(one.goes_on for one in taken_up),
    }
    print(f"seed {seed}: {counts}, {len(violations)} broken", flush=True)
    for line in violations:
        print(f"  {line}", flush=True)
    return violations
