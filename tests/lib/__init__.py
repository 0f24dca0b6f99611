"""Helpers for the tests."""
