"""Explanation of failed requests from the logs of sidecars."""
