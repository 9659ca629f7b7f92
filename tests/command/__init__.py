"""Tests of the command-line tool."""
