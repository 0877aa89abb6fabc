"""Adapter to the users' platform: settings, store and names on the wire."""
