"""Tests of ``foxtailway.testing``."""
