"""Benchmarks that print JSON lines; each module with a ``main`` is one benchmark."""
