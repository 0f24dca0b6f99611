"""API keys of a play: one that all versions hold, and one of each version."""

ORGANISATION = 'choir'
# Requests below it need an API key.
PRIVATE = '/private/'
STANDING_KEY = 'standing-key'


def key_of(version: int) -> str:
    """Return the API key that one version alone holds."""
    return f'key-{version}'
