"""Test runner, fakes of external systems and deployments on loopback addresses."""
