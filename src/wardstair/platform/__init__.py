"""Adapters for the protocols of the municipal platform."""
