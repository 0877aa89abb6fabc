"""Tests of ``foxtailway.cli``."""
