"""Tests of ``foxtailway.node``."""
