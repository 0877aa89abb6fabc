"""Tests of ``foxtailway.routing``."""
