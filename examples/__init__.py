"""Example deployments."""
