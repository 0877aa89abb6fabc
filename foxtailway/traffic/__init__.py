"""Decisions about calls of host-and-prefix routes, without input or output."""
