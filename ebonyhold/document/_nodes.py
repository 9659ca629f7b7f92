"""Reading YAML into nodes that know their place.

The nodes are built from the parser's events without recursion, within bounds,
because a library's own composer recurses into whatever it is given.
"""

from __future__ import annotations

from typing import Any, TypeAlias

import yaml
from attrs import define, field, frozen

from ebonyhold.document._findings import FindingCode, Path, Place, Report

MOST_TEXT = 64 * 1024 * 1024
"""The largest document in characters: 130,000 workspaces take about half."""

MOST_DEPTH = 32
"""The model itself nests five deep."""

MOST_NODES = 8_000_000
"""Nodes after aliases are expanded; 130,000 workspaces take about half."""

TAG_PREFIX = "tag:yaml.org,2002:"
PLAIN_TAGS = frozenset(
    TAG_PREFIX + word
    for word in ("str", "int", "float", "bool", "null", "timestamp", "seq", "map")
)

_LOADER: Any = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
_RESOLVER: Any = yaml.resolver.Resolver()


@frozen
class Scalar:
    """A single value.

    Attributes:
        place: Where it begins.
        text: The value as written, without quotes.
        kind: What YAML takes it for: ``str``, ``int``, ``float``, ``bool``,
            ``null`` or ``timestamp``.
    """

    place: Place
    text: str
    kind: str
    size: int = 1


@define
class ListNode:
    """A list of nodes."""

    place: Place
    items: list[Node] = field(factory=list)
    size: int = 1


@define
class MapNode:
    """A mapping of keys to nodes.

    Attributes:
        place: Where it begins.
        items: The values by key; of equal keys, the first.
        keys: The place of each key.
    """

    place: Place
    items: dict[str, Node] = field(factory=dict)
    keys: dict[str, Place] = field(factory=dict)
    size: int = 1


Node: TypeAlias = Scalar | ListNode | MapNode


class _StopReadingError(Exception):
    """A finding was recorded after which the text cannot be read on."""


@define
class _Open:
    """A list or mapping whose end has not been read yet."""

    node: ListNode | MapNode
    anchor: str | None
    key: Scalar | None = None
    skip_value: bool = False


@define
class _Composer:
    """Builds nodes from parser events."""

    report: Report
    stack: list[_Open] = field(factory=list)
    anchors: dict[str, Node] = field(factory=dict)
    open_anchors: set[str] = field(factory=set)
    nodes: int = 0
    root: Node | None = None

    def take(self, event: Any) -> None:
        """Take one event."""
        place = _place(event.start_mark)
        if isinstance(event, yaml.ScalarEvent):
            self.check_tag(event, place)
            self.close(_scalar(event, place), event.anchor)
        elif isinstance(event, yaml.SequenceStartEvent | yaml.MappingStartEvent):
            self.check_tag(event, place)
            self.open(event, place)
        elif isinstance(event, yaml.SequenceEndEvent | yaml.MappingEndEvent):
            ended = self.stack.pop()
            self.close(ended.node, ended.anchor)
        elif isinstance(event, yaml.AliasEvent):
            self.close(self.resolve(str(event.anchor), place), None)
        elif isinstance(event, yaml.DocumentStartEvent) and self.root is not None:
            self.stop(FindingCode.SYNTAX, place, "there is a second YAML document")

    def open(self, event: Any, place: Place) -> None:
        """Begin a list or mapping."""
        if len(self.stack) >= MOST_DEPTH:
            message = f"nested deeper than {MOST_DEPTH} levels"
            self.stop(FindingCode.TOO_DEEP, place, message)
        is_list = isinstance(event, yaml.SequenceStartEvent)
        node = ListNode(place) if is_list else MapNode(place)
        if event.anchor:
            self.open_anchors.add(event.anchor)
        self.stack.append(_Open(node, event.anchor))

    def close(self, node: Node, anchor: str | None) -> None:
        """Put a finished node into the one around it."""
        if anchor:
            self.anchors[anchor] = node
            self.open_anchors.discard(anchor)
        if not self.stack:
            self.root = node
            return
        around = self.stack[-1]
        around.node.size += node.size
        if around.node.size > MOST_NODES:
            message = f"more than {MOST_NODES} values once aliases are expanded"
            self.stop(FindingCode.ALIAS_EXPLOSION, node.place, message)
        if isinstance(around.node, ListNode):
            around.node.items.append(node)
        elif around.key is None:
            self.take_key(around, node)
        else:
            self.take_value(around, around.node, node)

    def take_key(self, around: _Open, node: Node) -> None:
        """Take a mapping's next key."""
        if isinstance(node, Scalar):
            around.key = node
            return
        message = "a key must be a single word"
        self.report.add(FindingCode.WRONG_TYPE, node.place, self.path(), message)
        around.key = Scalar(node.place, "?", "str")
        around.skip_value = True

    def take_value(self, around: _Open, mapping: MapNode, node: Node) -> None:
        """Take the value of a mapping's last key."""
        key = around.key
        around.key = None
        if around.skip_value or key is None:
            around.skip_value = False
            return
        if key.text in mapping.items:
            message = f"{key.text!r} stands here twice"
            path = (*self.path(), key.text)
            self.report.add(FindingCode.DUPLICATE_KEY, key.place, path, message)
            return
        mapping.items[key.text] = node
        mapping.keys[key.text] = key.place

    def resolve(self, anchor: str, place: Place) -> Node:
        """Return the node that an alias stands for."""
        if anchor in self.open_anchors:
            message = f"alias {anchor!r} contains itself"
            self.stop(FindingCode.ALIAS_CYCLE, place, message)
        if anchor not in self.anchors:
            self.stop(FindingCode.SYNTAX, place, f"there is no anchor {anchor!r}")
        return self.anchors[anchor]

    def check_tag(self, event: Any, place: Place) -> None:
        """Find fault with tags that ask for more than plain values."""
        if event.tag is None or event.tag in PLAIN_TAGS or event.tag == "!":
            return
        message = f"tag {event.tag!r} is not supported"
        self.report.add(FindingCode.WRONG_TYPE, place, self.path(), message)

    def path(self) -> Path:
        """Return the path of the node that is being read."""
        path: list[str | int] = []
        for each in self.stack:
            if isinstance(each.node, ListNode):
                path.append(len(each.node.items))
            elif each.key is not None:
                path.append(each.key.text)
        return tuple(path)

    def stop(self, code: FindingCode, place: Place, message: str) -> None:
        """Record a finding after which reading makes no sense."""
        self.report.add(code, place, self.path(), message)
        raise _StopReadingError(message)


def read_nodes(text: str, report: Report) -> Node | None:
    """Read YAML text; what is wrong with it goes into the report.

    Returns:
        The root, or None when the text cannot be read to its end.
    """
    if len(text) > MOST_TEXT:
        message = f"the document is longer than {MOST_TEXT} characters"
        report.add(FindingCode.TOO_LARGE, Place(), (), message)
        return None
    composer = _Composer(report)
    try:
        for event in yaml.parse(text, Loader=_LOADER):
            composer.take(event)
    except _StopReadingError:
        return None
    except yaml.MarkedYAMLError as error:
        mark = error.problem_mark or error.context_mark
        code = FindingCode.SYNTAX
        if "nesting depth" in (error.problem or ""):
            code = FindingCode.TOO_DEEP
        place = _place(mark) if mark else Place()
        report.add(code, place, (), error.problem or str(error))
        return None
    except yaml.reader.ReaderError as error:
        place = _place_of_offset(text, error.position)
        report.add(FindingCode.BAD_TEXT, place, (), error.reason)
        return None
    except UnicodeError as error:
        report.add(FindingCode.BAD_TEXT, Place(), (), str(error))
        return None
    return composer.root


def _scalar(event: Any, place: Place) -> Scalar:
    tag = event.tag
    if tag is None or tag == "!":
        tag = _RESOLVER.resolve(yaml.ScalarNode, event.value, event.implicit)
    return Scalar(place, event.value, tag.removeprefix(TAG_PREFIX))


def _place(mark: Any) -> Place:
    return Place(mark.line + 1, mark.column + 1)


def _place_of_offset(text: str, offset: int) -> Place:
    before = text[:offset]
    line = before.count("\n") + 1
    return Place(line, offset - before.rfind("\n"))
