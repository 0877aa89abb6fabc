"""Tests of ``foxtailway.proxy``."""
