"""Checking a whole document: every finding in one pass, never a traceback."""

from __future__ import annotations

from datetime import datetime
from pathlib import Path as FilePath

from ebonyhold.document._findings import (
    CheckResult,
    Finding,
    FindingCode,
    Place,
    Report,
    Severity,
)
from ebonyhold.document._model import Document
from ebonyhold.document._nodes import read_nodes
from ebonyhold.document._read import NO_RULE, ModelReader
from ebonyhold.document._rules import Draft, apply_rules
from ebonyhold.exceptions import DocumentError

SHOWN_FINDINGS = 20
"""Findings named in the message of a `DocumentError`."""


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
        DocumentError: It cannot be read, or has findings that forbid its use.
    """
    try:
        body = path.read_bytes()
    except OSError as error:
        raise DocumentError(f"{path}: {error.strerror}") from error
    result = check_bytes(body)
    if result.document is None:
        raise DocumentError(f"{path}: {render_findings(result.findings)}")
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
