"""Test runner and stand-ins of outside systems, used by tests and examples."""
