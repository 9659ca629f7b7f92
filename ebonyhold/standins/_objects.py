"""The object store, in memory."""

from __future__ import annotations

from attrs import define, field

from ebonyhold.exceptions import ConflictError
from ebonyhold.standins._ceiling import Ceiling
from ebonyhold.standins._faults import Faults


@define
class MemoryObjects:
    """An `Objects` in memory, with faults and ceilings.

    Attributes:
        faults: What goes wrong.
        writes: The ceiling on writes a second.
        reads: The ceiling on reads a second.
        objects: Every object by key.
    """

    faults: Faults = field(factory=Faults)
    writes: Ceiling = field(factory=Ceiling)
    reads: Ceiling = field(factory=Ceiling)
    objects: dict[str, bytes] = field(factory=dict)

    @classmethod
    def limited(cls, writes: float, reads: float) -> MemoryObjects:
        """Make a store with ceilings in calls a second."""
        return cls(writes=Ceiling(writes), reads=Ceiling(reads))

    async def get(self, key: str) -> bytes | None:
        """Read an object, or None when there is none."""

        async def call() -> bytes | None:
            self.reads.take(1)
            return self.objects.get(key)

        return await self.faults.read(call)

    async def put(self, key: str, body: bytes, *, if_absent: bool = False) -> None:
        """Write an object.

        Raises:
            ConflictError: There is one already, and `if_absent` was asked.
        """

        async def call() -> None:
            self.writes.take(1)
            if if_absent and key in self.objects:
                raise ConflictError("the object exists", (key,))
            self.objects[key] = body

        await self.faults.write(call)

    async def delete(self, key: str) -> None:
        """Remove an object, if it is there."""

        async def call() -> None:
            self.writes.take(1)
            self.objects.pop(key, None)

        await self.faults.write(call)

    async def keys(self, prefix: str, after: str = "", limit: int = 1000) -> list[str]:
        """List keys that start with a prefix, in order."""

        async def call() -> list[str]:
            self.reads.take(1)
            return sorted(
                key for key in self.objects if key.startswith(prefix) and key > after
            )[:limit]

        return await self.faults.read(call)
