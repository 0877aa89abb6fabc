"""Sidecar proxy of one upstream, which forwards requests by host and path prefix."""
