"""Process beside an upstream that carries calls of host-and-prefix routes."""
