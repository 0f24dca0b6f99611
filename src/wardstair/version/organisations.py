"""The organisations of a configuration version and their API keys."""

import secrets
from collections.abc import Mapping
from dataclasses import dataclass, field
from hashlib import blake2b

# API keys are looked up by salted digest, so that the time of a comparison
# reveals nothing about a key and dumps of the table contain no keys.
_DIGEST_BYTES = 16
_SALT = secrets.token_bytes(16)
Digest = bytes


@dataclass(frozen=True, slots=True)
class Quota:
    """Limit on the requests of an organisation, for the whole fleet.

    Attributes:
        rate: Requests per second.
        burst: Number of requests above that rate that may arrive at once.
    """

    rate: float
    burst: float


@dataclass(frozen=True, slots=True)
class Organisation:
    """A customer organisation.

    Attributes:
        name: Its name, as sent to upstreams.
        priority: Priority of its requests, 0 is the highest; None to use the
            priority of the route.
        regions: The regions that may serve it; empty for all.
        quota: Limit on its requests; None if unlimited.
    """

    name: str
    priority: int | None = None
    regions: frozenset[str] = frozenset()
    quota: Quota | None = None


@dataclass(frozen=True, slots=True)
class OrganisationTable:
    """The organisations of a configuration version.

    Attributes:
        by_name: Organisations by name.
        by_digest: Owner of each API key, by the key's digest.
    """

    by_name: Mapping[str, Organisation] = field(default_factory=dict)
    by_digest: Mapping[Digest, Organisation] = field(default_factory=dict)

    @property
    def has_quotas(self) -> bool:
        """Whether any organisation has a quota."""
        return any(
            organisation.quota is not None
            for organisation in self.by_name.values()
        )

    def owner_of(self, api_key: str) -> Organisation | None:
        """Return the organisation that holds an API key, or None."""
        return self.by_digest.get(digest_of(api_key))


def digest_of(api_key: str) -> Digest:
    """Return the digest of an API key.

    The salt is drawn at start, so digests of other processes differ.
    """
    return blake2b(
        api_key.encode(),
        digest_size=_DIGEST_BYTES,
        key=_SALT,
    ).digest()
