"""Demonstration: one deployment as separate processes on loopback."""
