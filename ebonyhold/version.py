"""The version of the ebonyhold distribution."""

__version__ = "0.1.0"
