"""Settings of a node, read from an INI file."""

from foxtailway.settings.loader import load_settings, parse_settings
from foxtailway.settings.model import (
    CallSettings,
    DistributionSettings,
    HostSettings,
    ListenSettings,
    NodeSettings,
    PlatformSettings,
    SeedAddress,
    UpstreamSettings,
)

__all__ = [
    "CallSettings",
    "DistributionSettings",
    "HostSettings",
    "ListenSettings",
    "NodeSettings",
    "PlatformSettings",
    "SeedAddress",
    "UpstreamSettings",
    "load_settings",
    "parse_settings",
]
