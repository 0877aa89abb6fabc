"""Daemon that runs on each host of the mesh."""
