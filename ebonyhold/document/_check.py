"""Checking a whole document: every finding in one pass, never a traceback."""

from __future__ import annotations

from datetime import datetime
from pathlib import Path as FilePath
from typing import TypeVar

from ebonyhold.document._findings import (
    CheckResult,
    Finding,
    FindingCode,
    Place,
    Report,
    Severity,
)
from ebonyhold.document._model import Document
from ebonyhold.document._nodes import MapNode, Scalar, read_nodes
from ebonyhold.document._read import NO_RULE, ModelReader
from ebonyhold.document._rules import Draft, apply_rules
from ebonyhold.exceptions import DocumentError

Part = TypeVar("Part")

SHOWN_FINDINGS = 20
"""Findings named in the message of a `DocumentError`."""


class FindingsError(DocumentError):
    """A document, or a part of one, has findings that forbid its use.

    Attributes:
        findings: All of them.
    """

    def __init__(self, findings: tuple[Finding, ...], source: str = "document") -> None:
        super().__init__(f"{source}: {render_findings(findings)}")
        self.findings = findings


def check_text(text: str, now: datetime | None = None) -> CheckResult:
    """Check a document.

    Args:
        text: The document as YAML, of which JSON is a part.
        now: If given, planned stops that ended before it do not count.
    """
    report = Report()
    root = read_nodes(text, report)
    if root is None:
        if not report.findings:
            message = "the document is empty"
            report.add(FindingCode.WRONG_TYPE, Place(), (), message)
        return CheckResult(None, report.ordered())
    reader = ModelReader(report)
    document: Document = reader.read(root, Document, NO_RULE, ())
    apply_rules(Draft(document, reader.places, report, now))
    return conclude(document, report)


def check_document(document: Document, now: datetime | None = None) -> CheckResult:
    """Check what ties the values of a document together.

    For a document that was put together from checked parts: their own form is
    not looked at again, and findings have a path but no line.
    """
    report = Report()
    apply_rules(Draft(document, {}, report, now))
    return conclude(document, report)


def check_part(text: str, kind: type[Part], key: str, name: str) -> Part:
    """Read one part of a document, such as a planned stop.

    Args:
        text: The part as YAML; it need not say its own name.
        kind: The class of the part.
        key: The attribute that holds its name.
        name: The name that it must have.

    Raises:
        FindingsError: It has findings, or has another name.
    """
    report = Report()
    root = read_nodes(text, report)
    part: Part | None = None
    if isinstance(root, MapNode):
        root.items.setdefault(key, Scalar(root.place, name, "str"))
    if root is not None:
        part = ModelReader(report).read(root, kind, NO_RULE, ())
        if getattr(part, key) != name and (key,) not in report.broken:
            message = f"this part is called {name!r}"
            report.add(FindingCode.BAD_VALUE, root.place, (key,), message)
    if part is None or report.findings:
        raise FindingsError(report.ordered())
    return part


def conclude(document: Document, report: Report) -> CheckResult:
    """Return the outcome of a check."""
    findings = report.ordered()
    failed = any(each.severity is Severity.ERROR for each in findings)
    return CheckResult(None if failed else document, findings)


def check_bytes(body: bytes, now: datetime | None = None) -> CheckResult:
    """Check a document as it came over the wire or from a file."""
    try:
        text = body.decode("utf-8")
    except UnicodeDecodeError as error:
        before = body[: error.start]
        place = Place(
            before.count(b"\n") + 1, len(before.rpartition(b"\n")[2].decode()) + 1
        )
        report = Report()
        report.add(FindingCode.BAD_TEXT, place, (), "the text is not UTF-8")
        return CheckResult(None, report.ordered())
    return check_text(text, now)


def load_document(path: FilePath) -> Document:
    """Read a document from a file.

    Raises:
        DocumentError: It cannot be read.
        FindingsError: It has findings that forbid its use.
    """
    try:
        body = path.read_bytes()
    except OSError as error:
        raise DocumentError(f"{path}: {error.strerror}") from error
    result = check_bytes(body)
    if result.document is None:
        raise FindingsError(result.findings, str(path))
    return result.document


def render_findings(findings: tuple[Finding, ...]) -> str:
    """Write findings in one line, the first of them in full."""
    shown = [
        f"{each.line}:{each.column} {each.path}: {each.message} [{each.code}]"
        for each in findings[:SHOWN_FINDINGS]
    ]
    if len(findings) > SHOWN_FINDINGS:
        shown.append(f"and {len(findings) - SHOWN_FINDINGS} more")
    return "; ".join(shown)
