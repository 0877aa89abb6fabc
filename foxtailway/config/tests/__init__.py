"""Tests of ``foxtailway.config``."""
