"""Routing, admission and membership decisions, without input or output."""
