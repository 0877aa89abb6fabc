"""Logs, metrics, audit trail and the admin port."""
