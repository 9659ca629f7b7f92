"""The HTTP interface for callers, and the refusals that it returns."""

from ebonyhold.callers._app import CallersApp
from ebonyhold.callers._codes import (
    Kind,
    Ran,
    RefusalCode,
    codes,
)
from ebonyhold.callers._keys import Caller, KeyRing
from ebonyhold.callers._refusals import Refusal, refusal_for

__all__ = [
    "Caller",
    "CallersApp",
    "KeyRing",
    "Kind",
    "Ran",
    "Refusal",
    "RefusalCode",
    "codes",
    "refusal_for",
]
