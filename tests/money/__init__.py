"""Tests of grants, the journal, claims and bills."""
