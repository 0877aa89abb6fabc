"""Measurements, one module for each, that print JSON lines."""
