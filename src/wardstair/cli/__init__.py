"""Command line programs, one per module."""
