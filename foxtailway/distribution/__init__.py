"""Distribution of versions from the platform to every node."""

from foxtailway.distribution.sink import BundleSink

__all__ = ["BundleSink"]
