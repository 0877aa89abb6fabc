"""Configuration distribution system for a service mesh."""

__version__ = "0.1.0"

__all__ = ["__version__"]
