"""Converts validation errors of settings and documents into faults."""

from pydantic import ValidationError

from wardstair.errors import Fault


def faults_of(error: ValidationError, source: str) -> list[Fault]:
    """Convert validation errors into faults that name the remedy."""
    return [
        Fault(
            source,
            '.'.join(map(str, detail['loc'])) or '(file)',
            detail['msg'],
            _remedy(detail['type']),
        )
        for detail in error.errors()
    ]


def _remedy(error_type: str) -> str:
    match error_type:
        case 'extra_forbidden':
            return 'remove the key or correct its spelling'
        case 'missing':
            return 'add the key'
        case 'string_pattern_mismatch':
            return 'use the format given in the reference page'
        case _:
            return 'give a value of the right type and range'
