"""Checks a document or a part of one and collects all findings in one pass."""

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
from ebonyhold.document._rules import CheckContext, apply_rules
from ebonyhold.exceptions import DocumentError

Part = TypeVar("Part")

MAX_SHOWN_FINDINGS = 20
"""Maximum number of findings that `render_findings` lists."""


class FindingsError(DocumentError):
    """A document, or a part of one, has findings that forbid its use.

    Attributes:
        findings: All findings, warnings included.
    """

    def __init__(self, findings: tuple[Finding, ...], source: str = "document") -> None:
        super().__init__(f"{source}: {render_findings(findings)}")
        self.findings = findings


def check_text(text: str, now: datetime | None = None) -> CheckResult:
    """Check the text of a document.

    Args:
        text: The document as YAML; JSON is accepted, too.
        now: If given, the check of the capacity ignores planned stops that have
            ended by then.
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
    apply_rules(CheckContext(document, reader.places, report, now))
    return make_result(document, report)


def check_document(document: Document, now: datetime | None = None) -> CheckResult:
    """Check a document that was built from checked parts.

    Only the rules of `apply_rules` are checked; types, bounds and patterns of
    single fields are not checked again. As there is no text, each finding
    has line 1 and column 1; its path is set as usual.
    """
    report = Report()
    apply_rules(CheckContext(document, {}, report, now))
    return make_result(document, report)


def check_part(text: str, kind: type[Part], key: str, name: str) -> Part:
    """Read one part of a document, such as a planned stop.

    Args:
        text: The part as YAML; the key with its name may be left out.
        kind: The class of the part.
        key: The attribute of the class that holds the name.
        name: The name that the part must have.

    Raises:
        FindingsError: The part is empty, has findings, or has another name.
    """
    report = Report()
    root = read_nodes(text, report)
    part: Part | None = None
    if isinstance(root, MapNode):
        root.items.setdefault(key, Scalar(root.place, name, "str"))
    if root is not None:
        part = ModelReader(report).read(root, kind, NO_RULE, ())
        if getattr(part, key) != name and (key,) not in report.placeholders:
            message = f"this part is called {name!r}"
            report.add(FindingCode.BAD_VALUE, root.place, (key,), message)
    if part is None or report.findings:
        raise FindingsError(report.ordered())
    return part


def make_result(document: Document, report: Report) -> CheckResult:
    """Return a result with all findings, and with the document if none is an error."""
    findings = report.ordered()
    failed = any(each.severity is Severity.ERROR for each in findings)
    return CheckResult(None if failed else document, findings)


def check_bytes(body: bytes, now: datetime | None = None) -> CheckResult:
    """Check a document given as bytes; a finding is added if they aren't UTF-8."""
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
        DocumentError: The file cannot be read.
        FindingsError: The document has findings that forbid its use.
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
    """Return a line with up to `MAX_SHOWN_FINDINGS` findings and the number omitted."""
    shown = [
        f"{each.line}:{each.column} {each.path}: {each.message} [{each.code}]"
        for each in findings[:MAX_SHOWN_FINDINGS]
    ]
    if len(findings) > MAX_SHOWN_FINDINGS:
        shown.append(f"and {len(findings) - MAX_SHOWN_FINDINGS} more")
    return "; ".join(shown)
