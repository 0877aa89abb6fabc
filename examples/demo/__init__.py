"""Demonstration of a deployment as separate processes on loopback addresses."""
