"""The fleet document: its classes, check, output formats and JSON Schema."""

from ebonyhold.document._capacity import is_stopped
from ebonyhold.document._check import (
    FindingsError,
    check_bytes,
    check_document,
    check_part,
    check_text,
    load_document,
    render_findings,
)
from ebonyhold.document._fields import (
    NAME,
    bounded,
    duration,
    parse_duration,
    render_duration,
)
from ebonyhold.document._findings import (
    CheckResult,
    Finding,
    FindingCode,
    Severity,
)
from ebonyhold.document._model import (
    ApiKey,
    Backend,
    BackendKind,
    Document,
    Limits,
    ModelRoute,
    Policy,
    ServiceRoute,
    ServiceRule,
    StaleConfiguration,
    Stop,
    UnknownOutcome,
    Workspace,
)
from ebonyhold.document._render import (
    part_converter,
    plain_to_yaml,
    to_canonical_json,
    to_plain,
    to_yaml,
)
from ebonyhold.document._schema import schema

__all__ = [
    "NAME",
    "ApiKey",
    "Backend",
    "BackendKind",
    "CheckResult",
    "Document",
    "Finding",
    "FindingCode",
    "FindingsError",
    "Limits",
    "ModelRoute",
    "Policy",
    "ServiceRoute",
    "ServiceRule",
    "Severity",
    "StaleConfiguration",
    "Stop",
    "UnknownOutcome",
    "Workspace",
    "bounded",
    "check_bytes",
    "check_document",
    "check_part",
    "check_text",
    "duration",
    "is_stopped",
    "load_document",
    "parse_duration",
    "part_converter",
    "plain_to_yaml",
    "render_duration",
    "render_findings",
    "schema",
    "to_canonical_json",
    "to_plain",
    "to_yaml",
]
