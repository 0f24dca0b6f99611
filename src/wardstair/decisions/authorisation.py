"""Authorises requests by API key."""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum

from wardstair.version.organisations import Organisation, OrganisationTable

# Longer values are refused without being hashed.
MAX_API_KEY_LENGTH = 512


class ApiKeyFault(StrEnum):
    """Why the API key of a request is not accepted."""

    missing = 'missing'
    repeated = 'repeated'
    empty = 'empty'
    oversized = 'oversized'
    unknown = 'unknown'
    # The configuration in force on this host may predate a revocation.
    outdated = 'outdated'


@dataclass(frozen=True, slots=True)
class Authorised:
    """The request may be served.

    Attributes:
        organisation: The organisation that makes the request; None if no key
            is needed and the request has no known one.
    """

    organisation: Organisation | None


@dataclass(frozen=True, slots=True)
class Unauthorised:
    """The request carries no valid API key.

    Attributes:
        fault: What is wrong with the key.
    """

    fault: ApiKeyFault


@dataclass(frozen=True, slots=True)
class Unverified:
    """This host cannot determine whether the API key is valid.

    Attributes:
        fault: Why the key cannot be checked.
    """

    fault: ApiKeyFault


Verdict = Authorised | Unauthorised | Unverified


@dataclass(frozen=True, slots=True)
class Freshness:
    """How current the configuration in force on this host is.

    Attributes:
        is_current: Whether this host, or a peer that it hears, is in contact
            with the store.
        is_expired: Whether that has been false for longer than the time limit
            for revocations, so that known keys may have been revoked.
    """

    is_current: bool = True
    is_expired: bool = False


def authorise(
    api_keys: Sequence[str],
    table: OrganisationTable,
    freshness: Freshness,
    *,
    is_public: bool,
) -> Verdict:
    """Return whether a request may be served.

    An unknown key is unverified rather than unauthorised while this host has
    no contact with the store, since the key may have been added meanwhile.

    Args:
        api_keys: The values of all API key headers of the request.
        table: The organisations of the version in force.
        freshness: How current that version is.
        is_public: Whether the route needs no API key.
    """
    if not table.by_name:
        return Authorised(None)
    fault = _api_key_fault(api_keys)
    owner = None if fault else table.owner_of(api_keys[0])
    if is_public:
        return Authorised(owner)
    if fault is not None:
        return Unauthorised(fault)
    return _verdict_on_owner(owner, freshness)


def _verdict_on_owner(
    owner: Organisation | None, freshness: Freshness
) -> Verdict:
    if freshness.is_expired:
        return Unverified(ApiKeyFault.outdated)
    if owner is not None:
        return Authorised(owner)
    if freshness.is_current:
        return Unauthorised(ApiKeyFault.unknown)
    return Unverified(ApiKeyFault.unknown)


def _api_key_fault(api_keys: Sequence[str]) -> ApiKeyFault | None:
    if not api_keys:
        return ApiKeyFault.missing
    if len(api_keys) > 1:
        return ApiKeyFault.repeated
    if not api_keys[0]:
        return ApiKeyFault.empty
    if len(api_keys[0]) > MAX_API_KEY_LENGTH:
        return ApiKeyFault.oversized
    return None
