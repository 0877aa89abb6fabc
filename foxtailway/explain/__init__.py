"""Explanation of failed requests by the logs of sidecars."""
