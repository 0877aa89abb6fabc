"""Forwarding of calls between clients, nodes and upstreams."""
