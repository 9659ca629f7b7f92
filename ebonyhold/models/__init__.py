"""Models of the core protocols, for explicit-state checking."""
