"""Handling of single requests by wardstair-entry."""
