"""The fleet document: its model, its check, its schema."""

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

__all__ = [
    "ApiKey",
    "Backend",
    "BackendKind",
    "Document",
    "Limits",
    "ModelRoute",
    "Policy",
    "ServiceRoute",
    "ServiceRule",
    "StaleConfiguration",
    "Stop",
    "UnknownOutcome",
    "Workspace",
]
