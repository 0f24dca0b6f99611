"""API keys of a play: one in all versions, and one specific to each version."""

ORGANISATION = 'choir'
# Path prefix of requests that need an API key.
PRIVATE = '/private/'
STANDING_KEY = 'standing-key'


def key_of(version: int) -> str:
    """Return the API key that only the given version contains."""
    return f'key-{version}'
