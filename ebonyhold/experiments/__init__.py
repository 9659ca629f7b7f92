"""Demos, benches and experiments; nothing here runs in a daemon."""
