"""Fakes of external systems for tests and benchmarks."""
