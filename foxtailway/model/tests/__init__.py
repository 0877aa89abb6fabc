"""Tests of ``foxtailway.model``."""
