"""Small stand-ins for the platform and the backend servers.

What is imported here runs in memory, under any clock that anyio gives.
``python -m ebonyhold.standins KIND --bind IP:PORT`` runs one as a process.
"""

from ebonyhold.standins._answers import Answer, expected_text, prompt_digest, words_of
from ebonyhold.standins._attempts import Attempt, AttemptState, EngineProfile, Job
from ebonyhold.standins._ceiling import Ceiling
from ebonyhold.standins._engine import Engine, EngineRefusal
from ebonyhold.standins._faults import Faults
from ebonyhold.standins._objects import MemoryObjects
from ebonyhold.standins._records import (
    EngineRecord,
    EngineRecords,
    OrderRecord,
    ServiceRecord,
    ServiceRecords,
)
from ebonyhold.standins._rows import MemoryRows, RowHistory
from ebonyhold.standins._table import MemoryTable

__all__ = [
    "Answer",
    "Attempt",
    "AttemptState",
    "Ceiling",
    "Engine",
    "EngineProfile",
    "EngineRecord",
    "EngineRecords",
    "EngineRefusal",
    "Faults",
    "Job",
    "MemoryObjects",
    "MemoryRows",
    "MemoryTable",
    "OrderRecord",
    "RowHistory",
    "ServiceRecord",
    "ServiceRecords",
    "expected_text",
    "prompt_digest",
    "words_of",
]
