"""The version of this distribution."""

__version__ = "0.1.0"
