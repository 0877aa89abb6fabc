"""Validation of configuration documents and compilation into snapshots."""

from foxtailway.config.compiler import Rejection, SnapshotCompiler
from foxtailway.config.finding import Defect, Finding
from foxtailway.config.generation import read_generation
from foxtailway.config.host_list import parse_host_list
from foxtailway.config.zones import read_zone_regions

__all__ = [
    "Defect",
    "Finding",
    "Rejection",
    "SnapshotCompiler",
    "parse_host_list",
    "read_generation",
    "read_zone_regions",
]
