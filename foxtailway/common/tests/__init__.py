"""Tests of ``foxtailway.common``."""
