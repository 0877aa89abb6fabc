"""Tests of ``foxtailway.settings``."""
