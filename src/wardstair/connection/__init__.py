"""Connections to upstreams and the exchanges that they carry."""
