"""Reads YAML text into nodes that have their line and column.

The nodes are built from the parser's events without recursion and within limits
on size and depth, because PyYAML's own composer recurses without a limit.
"""

from __future__ import annotations

from typing import Any, TypeAlias

import yaml
from attrs import define, field, frozen

from ebonyhold.document._findings import FindingCode, Path, Place, Report

MAX_TEXT = 64 * 1024 * 1024
"""Maximum characters in a document; 130,000 workspaces need about half of them."""

MAX_DEPTH = 32
"""Maximum nesting of lists and mappings; the document's model has five levels."""

MAX_NODES = 8_000_000
"""Maximum nodes, with aliases expanded; 130,000 workspaces need about half of them."""

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
        place: Where the value begins.
        text: The value as written, without quotes and with escapes resolved.
        kind: Its YAML type: ``str``, ``int``, ``float``, ``bool``, ``null`` or
            ``timestamp``; for any other tag, the tag without `TAG_PREFIX`.
        size: Number of nodes, which is 1.
    """

    place: Place
    text: str
    kind: str
    size: int = 1


@define
class ListNode:
    """A list of nodes.

    Attributes:
        place: Where the list begins.
        items: The nodes in the list.
        size: Number of nodes with aliases expanded, this one included.
    """

    place: Place
    items: list[Node] = field(factory=list)
    size: int = 1


@define
class MapNode:
    """A mapping of keys to nodes.

    Attributes:
        place: Where the mapping begins.
        items: The values by key; the first value if a key is repeated.
        keys: The place of each key.
        size: Number of nodes with aliases expanded, this one included; keys are
            not counted.
    """

    place: Place
    items: dict[str, Node] = field(factory=dict)
    keys: dict[str, Place] = field(factory=dict)
    size: int = 1


Node: TypeAlias = Scalar | ListNode | MapNode


class _StopReadingError(Exception):
    """Raised, after a finding was added, to end the reading of the text."""


@define
class _OpenCollection:
    """A list or mapping whose end has not been read yet.

    Attributes:
        node: The list or mapping.
        anchor: Its YAML anchor, if any.
        key: In a mapping, the last key if its value has not been read yet.
        skip_value: Whether to discard the next value, as its key is invalid.
    """

    node: ListNode | MapNode
    anchor: str | None
    key: Scalar | None = None
    skip_value: bool = False


@define
class _Composer:
    """Builds nodes from parser events.

    Attributes:
        report: Receives the findings.
        stack: The lists and mappings that are being read, the outermost first.
        anchors: The finished nodes that have an anchor.
        open_anchors: Anchors of nodes that are still being read.
        root: The root node once it is finished.
    """

    report: Report
    stack: list[_OpenCollection] = field(factory=list)
    anchors: dict[str, Node] = field(factory=dict)
    open_anchors: set[str] = field(factory=set)
    nodes: int = 0
    root: Node | None = None

    def handle_event(self, event: Any) -> None:
        """Process the next event of the parser."""
        place = _place(event.start_mark)
        if isinstance(event, yaml.ScalarEvent):
            self.check_tag(event, place)
            self.add_node(_scalar(event, place), event.anchor)
        elif isinstance(event, yaml.SequenceStartEvent | yaml.MappingStartEvent):
            self.check_tag(event, place)
            self.start_collection(event, place)
        elif isinstance(event, yaml.SequenceEndEvent | yaml.MappingEndEvent):
            ended = self.stack.pop()
            self.add_node(ended.node, ended.anchor)
        elif isinstance(event, yaml.AliasEvent):
            self.add_node(self.resolve_alias(str(event.anchor), place), None)
        elif isinstance(event, yaml.DocumentStartEvent) and self.root is not None:
            self.abort(FindingCode.SYNTAX, place, "there is a second YAML document")

    def start_collection(self, event: Any, place: Place) -> None:
        """Push a new list or mapping on the stack."""
        if len(self.stack) >= MAX_DEPTH:
            message = f"nested deeper than {MAX_DEPTH} levels"
            self.abort(FindingCode.TOO_DEEP, place, message)
        is_list = isinstance(event, yaml.SequenceStartEvent)
        node = ListNode(place) if is_list else MapNode(place)
        if event.anchor:
            self.open_anchors.add(event.anchor)
        self.stack.append(_OpenCollection(node, event.anchor))

    def add_node(self, node: Node, anchor: str | None) -> None:
        """Add a finished node to the innermost open one, or make it the root."""
        if anchor:
            self.anchors[anchor] = node
            self.open_anchors.discard(anchor)
        if not self.stack:
            self.root = node
            return
        parent = self.stack[-1]
        parent.node.size += node.size
        if parent.node.size > MAX_NODES:
            message = f"more than {MAX_NODES} values once aliases are expanded"
            self.abort(FindingCode.ALIAS_EXPLOSION, node.place, message)
        if isinstance(parent.node, ListNode):
            parent.node.items.append(node)
        elif parent.key is None:
            self.set_key(parent, node)
        else:
            self.set_value(parent, parent.node, node)

    def set_key(self, parent: _OpenCollection, node: Node) -> None:
        """Store the next key of a mapping; a key must be a scalar."""
        if isinstance(node, Scalar):
            parent.key = node
            return
        message = "a key must be a single word"
        self.report.add(FindingCode.WRONG_TYPE, node.place, self.path(), message)
        parent.key = Scalar(node.place, "?", "str")
        parent.skip_value = True

    def set_value(self, parent: _OpenCollection, mapping: MapNode, node: Node) -> None:
        """Store the value of the last key; add a finding if the key is repeated."""
        key = parent.key
        parent.key = None
        if parent.skip_value or key is None:
            parent.skip_value = False
            return
        if key.text in mapping.items:
            message = f"{key.text!r} stands here twice"
            path = (*self.path(), key.text)
            self.report.add(FindingCode.DUPLICATE_KEY, key.place, path, message)
            return
        mapping.items[key.text] = node
        mapping.keys[key.text] = key.place

    def resolve_alias(self, anchor: str, place: Place) -> Node:
        """Return the node of an alias; abort if it is undefined or contains itself."""
        if anchor in self.open_anchors:
            message = f"alias {anchor!r} contains itself"
            self.abort(FindingCode.ALIAS_CYCLE, place, message)
        if anchor not in self.anchors:
            self.abort(FindingCode.SYNTAX, place, f"there is no anchor {anchor!r}")
        return self.anchors[anchor]

    def check_tag(self, event: Any, place: Place) -> None:
        """Add a finding if a node has a tag other than those of plain values."""
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

    def abort(self, code: FindingCode, place: Place, message: str) -> None:
        """Add a finding and end the reading by raising `_StopReadingError`."""
        self.report.add(code, place, self.path(), message)
        raise _StopReadingError(message)


def read_nodes(text: str, report: Report) -> Node | None:
    """Read YAML text and add errors in it to the report.

    Returns:
        The root, or None if the text is empty or cannot be read to its end.
    """
    if len(text) > MAX_TEXT:
        message = f"the document is longer than {MAX_TEXT} characters"
        report.add(FindingCode.TOO_LARGE, Place(), (), message)
        return None
    composer = _Composer(report)
    try:
        for event in yaml.parse(text, Loader=_LOADER):
            composer.handle_event(event)
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
