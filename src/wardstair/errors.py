"""Errors of wardstair.

Each error has a message and a hint with the remedy, so that a log line or an
answer is sufficient to act on; exceptions also have a context.
"""

from dataclasses import dataclass, field
from enum import StrEnum


class RefusalKind(StrEnum):
    """Reasons for refusing a request, with stable names for programs."""

    no_route = 'no-route'
    key_required = 'key-required'
    key_mismatch = 'key-mismatch'
    key_table_full = 'key-table-full'
    already_run = 'already-run'
    outcome_unknown = 'outcome-unknown'
    overloaded = 'overloaded'
    turned_away = 'turned-away'
    limits_reached = 'limits-reached'
    no_memory = 'no-memory'
    no_upstream = 'no-upstream'
    unreached = 'unreached'
    cap_reached = 'cap-reached'
    deadline_passed = 'deadline-passed'
    body_too_large = 'body-too-large'
    incomplete = 'incomplete'
    bad_framing = 'bad-framing'
    bad_header = 'bad-header'
    upstream_failed = 'upstream-failed'
    stopping = 'stopping'
    not_authorised = 'not-authorised'
    starting = 'starting'
    unverified = 'unverified'
    over_quota = 'over-quota'
    no_home = 'no-home'
    upstreams_leaving = 'upstreams-leaving'
    upstreams_paused = 'upstreams-paused'
    ends_upstreams = 'ends-upstreams'
    internal_fault = 'internal-fault'


@dataclass(frozen=True)
class Refusal:
    """Refusal of a request.

    Attributes:
        kind: The stable name of the reason.
        status: HTTP status code of the answer.
        message: Description for people.
        hint: What the caller can do about it.
        not_run: True only if the request certainly has not run.
        retry_after: Seconds after which a retry makes sense, or None.
    """

    kind: RefusalKind
    status: int
    message: str
    hint: str
    not_run: bool
    retry_after: int | None = None


@dataclass(frozen=True)
class Fault:
    """A fault in a settings or configuration file.

    Attributes:
        source: Path of the file.
        key: Dotted path of the faulty key.
        message: What is wrong.
        hint: What to do.
    """

    source: str
    key: str
    message: str
    hint: str

    def __str__(self) -> str:
        """Return the line that `wardstair-check` prints."""
        return f'{self.source}: {self.key}: {self.message}; {self.hint}'


class WardstairError(Exception):
    """Base class of the exceptions that wardstair raises.

    Args:
        message: What happened.
        hint: The remedy.
        context: Values by name that help to find the cause.
    """

    def __init__(self, message: str, hint: str, **context: object) -> None:
        """Store the parts for logs and join message and hint into a text."""
        super().__init__(f'{message}; {hint}')
        self.message = message
        self.hint = hint
        self.context = context


class ConfigurationError(WardstairError):
    """A settings file or steering configuration is not valid."""


@dataclass(frozen=True)
class PlatformUnavailable:
    """The platform did not answer; a write may or may not have taken effect."""

    message: str
    hint: str = 'try again later; read the object back after a write'


@dataclass(frozen=True)
class VersionConflict:
    """A conditional update named a version that is not the current one.

    Attributes:
        name: The object or the call.
        hint: The remedy.
        body: The answer, which may contain the current object.
    """

    name: str
    hint: str = 'read the object again and decide anew'
    body: bytes = field(default=b'', repr=False)


@dataclass(frozen=True)
class ObjectMissing:
    """The platform has no object of that name."""

    name: str
    hint: str = 'create the object first, or check its name'


@dataclass(frozen=True)
class WatchForgotten:
    """The platform no longer has the revision from which a watch resumes."""

    revision: int
    hint: str = 'list the objects again and watch from the new revision'


@dataclass(frozen=True)
class BudgetSpent:
    """The local budget for calls to the platform is currently exhausted."""

    retry_after: float
    hint: str = 'wait for the stated seconds'


PlatformError = (
    PlatformUnavailable
    | VersionConflict
    | ObjectMissing
    | WatchForgotten
    | BudgetSpent
)
