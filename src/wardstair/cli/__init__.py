"""Command line programs, one a module."""
