"""Tests of ``foxtailway.transport``."""
