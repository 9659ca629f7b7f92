"""Tests of the stand-ins."""
