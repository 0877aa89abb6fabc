"""Adapter to the users' platform: settings, store and wire names."""
