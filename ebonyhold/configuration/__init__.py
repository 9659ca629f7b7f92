"""Publish, distribute and adopt versions of the configuration document."""

from ebonyhold.configuration._keeper import (
    ConfigurationKeeper,
    Evidence,
    EvidenceSource,
    make_keeper,
)
from ebonyhold.configuration._parts import (
    LIST_PARTS,
    Change,
    DocumentState,
    find_change,
    find_changed_paths,
)
from ebonyhold.configuration._store import Manifest, VersionStore

__all__ = [
    "LIST_PARTS",
    "Change",
    "ConfigurationKeeper",
    "DocumentState",
    "Evidence",
    "EvidenceSource",
    "Manifest",
    "VersionStore",
    "find_change",
    "find_changed_paths",
    "make_keeper",
]
