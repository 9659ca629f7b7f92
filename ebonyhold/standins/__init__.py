"""Small stand-ins for the platform and the backend servers.

What is imported here runs in memory, under any clock that anyio gives.
``python -m ebonyhold.standins KIND --bind IP:PORT`` runs one as a process.
"""

from ebonyhold.standins._ceiling import Ceiling
from ebonyhold.standins._faults import Faults
from ebonyhold.standins._objects import MemoryObjects
from ebonyhold.standins._table import MemoryTable

__all__ = ["Ceiling", "Faults", "MemoryObjects", "MemoryTable"]
