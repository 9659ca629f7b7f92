"""Keys of the rows in the table and of the objects in the object store."""

from __future__ import annotations

from ebonyhold.types import BackendName, RequestId, RouterId, WorkspaceName

BUDGET_PREFIX = "budget/"
ROUTER_PREFIX = "router/"
REQUEST_PREFIX = "request/"
TOPUP_PREFIX = "topup/"
REFUND_PREFIX = "refund/"
GRANT_PREFIX = "grant/"
TRANSFER_PREFIX = "transfer/"
ARCHIVE_PREFIX = "archive/"
CONFIG_HEAD = "config/head"
CONFIG_VERSION_PREFIX = "config/version/"

SEGMENT_DIGITS = 10
"""Digits of a segment's number: enough for one per millisecond for a hundred days."""

VERSION_DIGITS = 10


def config_version_key(version: int) -> str:
    """Return the key of a configuration version's history row."""
    return f"{CONFIG_VERSION_PREFIX}{version:0{VERSION_DIGITS}d}"


def budget_key(workspace: WorkspaceName) -> str:
    """Return the key of a workspace's budget row."""
    return f"{BUDGET_PREFIX}{workspace}"


def topup_key(workspace: WorkspaceName, key: str) -> str:
    """Return the key of one top-up."""
    return f"{TOPUP_PREFIX}{workspace}/{key}"


def refund_key(workspace: WorkspaceName, key: str) -> str:
    """Return the key of one refund."""
    return f"{REFUND_PREFIX}{workspace}/{key}"


def router_key(router: RouterId) -> str:
    """Return the key of an incarnation's row."""
    return f"{ROUTER_PREFIX}{router}"


def grant_prefix(router: RouterId) -> str:
    """Return the prefix of all grants of one incarnation."""
    return f"{GRANT_PREFIX}{router}/"


def grant_key(router: RouterId, workspace: WorkspaceName) -> str:
    """Return the key of one incarnation's grant from one budget."""
    return f"{grant_prefix(router)}{workspace}"


def transfer_key(transfer: str) -> str:
    """Return the key of one transfer between routers."""
    return f"{TRANSFER_PREFIX}{transfer}"


def archive_key(workspace: WorkspaceName) -> str:
    """Return the key of the totals of a workspace's deleted bills."""
    return f"{ARCHIVE_PREFIX}{workspace}"


def request_key(workspace: WorkspaceName, request: RequestId) -> str:
    """Return the key of a request's claim and bill."""
    return f"{REQUEST_PREFIX}{workspace}/{request}"


def journal_prefix(router: RouterId) -> str:
    """Return the prefix of one incarnation's journal, in table and object store."""
    return f"journal/{router}/"


def order_prefix() -> str:
    """Return the prefix of all unanswered orders."""
    return "order/"


def order_key(backend: BackendName, fencing: int) -> str:
    """Return the key of a lease holder's unanswered order to an engine.

    The key contains the holder's fencing number, so an earlier holder cannot overwrite
    the order of a later one.
    """
    return f"{order_prefix()}{backend}/{fencing}"


def segment_key(router: RouterId, number: int) -> str:
    """Return the key of one journal segment."""
    return f"{journal_prefix(router)}{number:0{SEGMENT_DIGITS}d}"


def lease_key(name: str) -> str:
    """Return the key of a lease."""
    return f"lease/{name}"
