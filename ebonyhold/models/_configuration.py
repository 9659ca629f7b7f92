"""Model: configuration versions, operators that race, routers that restart."""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from ebonyhold.models._checking import Guard, Model, family, replaced

NAMES = "AB"


class ConfigState(NamedTuple):
    """The head with its history, two operators, two routers.

    Attributes:
        history: For each accepted version, who published it and on which
            version it was based; the head is the last.
        based_on: For each operator, the version it has seen; -1 before it looked.
        waiting: For each operator, whether it has a commit without an answer.
        pending: For each operator, whether a commit of it is still under way
            and may yet take effect.
        told: For each operator, what it was told: accepted, refused or nothing.
        version: For each router, the version in force; 0 before the first.
        floor: For each router's VM, the largest version that was ever in force.
        offers: For each router, a version that is on its way to it; 0 for none.
        restarts: How many restarts may still happen.
    """

    history: tuple[tuple[str, int], ...] = ()
    based_on: tuple[int, ...] = (-1, -1)
    waiting: tuple[bool, ...] = (False, False)
    pending: tuple[bool, ...] = (False, False)
    told: tuple[str, ...] = ("", "")
    version: tuple[int, ...] = (0, 0)
    floor: tuple[int, ...] = (0, 0)
    offers: tuple[int, ...] = (0, 0)
    restarts: int = 1

    @property
    def head(self) -> int:
        """Return the newest accepted version."""
        return len(self.history)


GUARDS = (
    Guard(
        "compare-and-set on the head",
        "the second operator's version silently undoes the first one's change, "
        "which was accepted",
        "every version is based on the one before",
    ),
    Guard(
        "history row with the publication's key",
        "an operator whose answer was lost finds another's version at the head "
        "and is told that it lost the race, though its own was accepted first",
        "operators are told the truth",
    ),
    Guard(
        "a lost answer is repeated as the same commit",
        "a publication whose answer was lost is accepted twice: once as it was "
        "and once again on top",
        "no publication is accepted twice",
    ),
    Guard(
        "a conflict is read back as well",
        "the first commit's answer was lost and the commit is slow; the second, "
        "equal one conflicts with it, and the operator is told that it lost",
        "operators are told the truth",
    ),
    Guard(
        "adopt only what is larger",
        "an answer of the table that was long under way puts an old version "
        "back into force",
        "a version in force never reverts",
    ),
    Guard(
        "a router that starts reads the platform",
        "a router restarts and takes the version of a peer that has not heard "
        "of the newest one, which was in force on this VM before",
        "a version in force never reverts",
    ),
)


class ConfigModel:
    """The steps of the protocol, with bounds."""

    def __init__(self, without: str, deep: bool) -> None:
        self.without = without
        self.max_versions = 5 if deep else 3

    def successors(self, s: ConfigState) -> Iterator[tuple[str, ConfigState]]:
        """Return what may happen next."""
        for place in range(2):
            yield from self.publish(s, place)
            yield from self.take_effect(s, place)
            yield from self.resolve(s, place)
        for place in range(2):
            yield from self.route(s, place)

    def accepts(self, s: ConfigState, place: int) -> bool:
        """Say whether the table takes an operator's commit now."""
        if s.head >= self.max_versions:
            return False
        unchecked = self.without == "compare-and-set on the head"
        return unchecked or s.based_on[place] == s.head

    def accepted(self, s: ConfigState, place: int) -> ConfigState:
        """Return the state after the table took an operator's commit."""
        entry = (NAMES[place], s.based_on[place])
        return s._replace(history=(*s.history, entry))

    def publish(self, s: ConfigState, place: int) -> Iterator[tuple[str, ConfigState]]:
        """Look at the head, then commit; the answer may be lost."""
        name = NAMES[place]
        if s.based_on[place] < 0:
            seen = replaced(s.based_on, place, s.head)
            yield f"{name} reads version {s.head}", s._replace(based_on=seen)
            return
        if s.told[place] or s.waiting[place]:
            return
        if self.accepts(s, place):
            told = replaced(s.told, place, "accepted")
            yield (
                f"{name}'s version is accepted",
                self.accepted(s, place)._replace(told=told),
            )
        elif self.without == "a conflict is read back as well":
            told = replaced(s.told, place, "refused")
            yield f"{name}'s version is refused", s._replace(told=told)
        else:
            conflict = replaced(s.waiting, place, True)
            yield f"{name}'s commit conflicts", s._replace(waiting=conflict)
        waiting = replaced(s.waiting, place, True)
        pending = replaced(s.pending, place, True)
        lost = s._replace(waiting=waiting, pending=pending)
        yield f"{name} commits, no answer comes", lost

    def take_effect(
        self, s: ConfigState, place: int
    ) -> Iterator[tuple[str, ConfigState]]:
        """Let a commit that is under way reach the table."""
        if not s.pending[place]:
            return
        name = NAMES[place]
        arrived = s._replace(pending=replaced(s.pending, place, False))
        yield f"{name}'s commit is lost", arrived
        if self.accepts(s, place):
            yield f"{name}'s commit takes effect", self.accepted(arrived, place)

    def resolve(self, s: ConfigState, place: int) -> Iterator[tuple[str, ConfigState]]:
        """Read back after a lost answer; commit again if nothing is decided."""
        if not s.waiting[place]:
            return
        name, base = NAMES[place], s.based_on[place]
        answered = s._replace(waiting=replaced(s.waiting, place, False))
        if self.without == "a lost answer is repeated as the same commit":
            again = replaced(s.based_on, place, s.head)
            yield (
                f"{name} publishes again on {s.head}",
                answered._replace(based_on=again),
            )
            return
        if s.head == base:
            yield f"{name} finds nothing and repeats", answered
            return
        decided = s.history[base][0] == name
        if self.without == "history row with the publication's key":
            decided = s.history[-1][0] == name
        told = replaced(s.told, place, "accepted" if decided else "refused")
        yield f"{name} reads back", answered._replace(told=told)

    def route(self, s: ConfigState, place: int) -> Iterator[tuple[str, ConfigState]]:
        """Ask for the head, hear of it, adopt, restart."""
        name = f"router {place + 1}"
        own, offer = s.version[place], s.offers[place]
        if not offer and s.head:
            asked = replaced(s.offers, place, s.head)
            yield f"{name} reads version {s.head}", s._replace(offers=asked)
        if offer:
            yield f"{name} gets version {offer}", self.adopt(s, place, offer)
        yield from self.hear_peer(s, place)
        if own and s.restarts:
            # An answer from before belongs to a connection that is gone.
            yield (
                f"{name} restarts",
                s._replace(
                    version=replaced(s.version, place, 0),
                    offers=replaced(s.offers, place, 0),
                    restarts=s.restarts - 1,
                ),
            )

    def adopt(self, s: ConfigState, place: int, offer: int) -> ConfigState:
        """Return the state after a router got a version from the table.

        Answers may overtake each other, so the offer stays until a newer one
        is asked for.
        """
        larger = offer > s.version[place]
        if not larger and self.without != "adopt only what is larger":
            return s._replace(offers=replaced(s.offers, place, 0))
        floor = max(s.floor[place], offer)
        return s._replace(
            version=replaced(s.version, place, offer),
            floor=replaced(s.floor, place, floor),
            offers=replaced(s.offers, place, 0),
        )

    def hear_peer(
        self, s: ConfigState, place: int
    ) -> Iterator[tuple[str, ConfigState]]:
        """Take a version that the other router has."""
        theirs = s.version[1 - place]
        own = s.version[place]
        may_start = self.without == "a router that starts reads the platform"
        allowed = own > 0 or may_start
        if theirs > own and allowed:
            heard = s._replace(
                version=replaced(s.version, place, theirs),
                floor=replaced(s.floor, place, max(s.floor[place], theirs)),
            )
            yield f"router {place + 1} takes version {theirs} of its peer", heard


def told_the_truth(s: ConfigState) -> bool:
    """Say whether what operators were told is so."""
    for place, name in enumerate(NAMES):
        inside = any(author == name for author, _ in s.history)
        if s.told[place] == "accepted" and not inside:
            return False
        if s.told[place] == "refused" and inside:
            return False
    return True


@family("configuration", "Configuration versions", GUARDS)
def build_configuration(without: str, deep: bool) -> Model[ConfigState]:
    """Build the model."""
    model = ConfigModel(without, deep)
    return Model(
        "configuration",
        ConfigState(restarts=4 if deep else 1),
        model.successors,
        {
            "every version is based on the one before": lambda s: all(
                base == number for number, (_, base) in enumerate(s.history)
            ),
            "operators are told the truth": told_the_truth,
            "no publication is accepted twice": lambda s: (
                len({author for author, _ in s.history}) == len(s.history)
            ),
            "a version in force never reverts": lambda s: all(
                not version or version >= floor
                for version, floor in zip(s.version, s.floor, strict=True)
            ),
        },
    )
