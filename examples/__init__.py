"""Settings and configuration files of example deployments, and a demonstration."""
