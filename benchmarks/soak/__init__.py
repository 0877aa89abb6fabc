"""Fault soak of the sidecar: real processes under random faults, checked throughout."""
