"""Tests of ``foxtailway.source``."""
