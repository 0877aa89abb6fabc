"""Tests of ``foxtailway.distribution``."""
