"""What the platform's store answers, and how it is read.

An object that cannot be read costs none of the others in the same answer.
"""

from dataclasses import dataclass

from pydantic import BaseModel, ConfigDict, ValidationError
from result import Err, Ok, Result
from tornado.httpclient import HTTPResponse

from wardstair.errors import (
    ObjectMissing,
    PlatformError,
    PlatformUnavailable,
    VersionConflict,
    WatchForgotten,
)
from wardstair.platform.objects import StoredObject
from wardstair.process.log import log_warning
from wardstair.state.revision import Revision


class _Model(BaseModel):
    model_config = ConfigDict(extra='ignore', frozen=True)


class _Page(_Model):
    # Each is checked on its own: one bad object does not cost the others.
    items: tuple[object, ...]
    truncated: bool = False
    # The store's revision at which the page was read.
    as_of: int


class _Event(_Model):
    object: object
    deleted: bool = False


class _Events(_Model):
    events: tuple[_Event, ...]
    as_of: int


@dataclass(frozen=True, slots=True)
class Answer:
    """A good answer, and the era of the store that gave it."""

    body: bytes
    era: int


@dataclass(frozen=True, slots=True)
class Listing:
    """All objects of a kind.

    Attributes:
        objects: The objects.
        revision: Where a watch goes on from.
    """

    objects: tuple[StoredObject, ...]
    revision: Revision


@dataclass(frozen=True, slots=True)
class Change:
    """One change of an object."""

    stored: StoredObject
    is_deleted: bool


@dataclass(frozen=True, slots=True)
class Changes:
    """Changes of a kind since a revision.

    Attributes:
        changes: In order.
        revision: Where the next watch goes on from.
    """

    changes: tuple[Change, ...]
    revision: Revision


@dataclass(frozen=True, slots=True)
class Page:
    """A part of a listing.

    Attributes:
        objects: The objects that can be read.
        is_last: Whether nothing follows.
        revision: The store's revision at which it was read.
    """

    objects: tuple[StoredObject, ...]
    is_last: bool
    revision: Revision


def read_body(
    response: HTTPResponse, call: str
) -> Result[bytes, PlatformError]:
    """Return the body of a good answer.

    Args:
        response: The answer.
        call: The call, for messages.

    Returns:
        The body, or what the status says.
    """
    match response.code:
        case 200 | 201:
            return Ok(response.body or b'')
        case 404:
            return Err(ObjectMissing(call))
        case 409:
            return Err(VersionConflict(call))
        case 410:
            return Err(WatchForgotten(0))
        case _:
            reason = response.error or response.code
            return Err(PlatformUnavailable(f'{call}: {reason}'))


def read_page(kind: str, answer: Answer) -> Result[Page, PlatformError]:
    """Read a page of a listing.

    Args:
        kind: The kind of objects.
        answer: The answer.
    """
    try:
        page = _Page.model_validate_json(_readable(answer.body))
    except ValidationError as error:
        return Err(PlatformUnavailable(f'unreadable list: {error}'))
    objects = tuple(_read_objects(kind, page.items, answer.era))
    is_last = not page.truncated or not page.items
    if not is_last and not objects:
        # Where the next page begins is not known; without it the listing would
        # take out whatever comes after.
        return Err(PlatformUnavailable(f'unreadable page of {kind}'))
    return Ok(Page(objects, is_last, Revision(answer.era, page.as_of)))


def read_changes(kind: str, answer: Answer) -> Result[Changes, PlatformError]:
    """Read the events of a watch.

    Args:
        kind: The kind of objects.
        answer: The answer.
    """
    try:
        parsed = _Events.model_validate_json(_readable(answer.body))
    except ValidationError as error:
        return Err(PlatformUnavailable(f'unreadable events: {error}'))
    changes = [
        Change(stored, event.deleted)
        for event in parsed.events
        for stored in _read_objects(kind, (event.object,), answer.era)
    ]
    return Ok(Changes(tuple(changes), Revision(answer.era, parsed.as_of)))


def read_object(answer: Answer) -> Result[StoredObject, PlatformError]:
    """Read one object.

    Args:
        answer: The answer.
    """
    try:
        return Ok(_decode(answer))
    except ValidationError as error:
        return Err(PlatformUnavailable(f'unreadable object: {error}'))


def read_written(answer: Answer) -> StoredObject | None:
    """Read an object as written; None if the store answered with less.

    Args:
        answer: The answer.
    """
    return read_object(answer).ok()


def _decode(answer: Answer) -> StoredObject:
    stored = StoredObject.model_validate_json(answer.body)
    return stored.model_copy(update={'era': answer.era})


def _readable(answer: bytes) -> bytes:
    """Return an answer of which all bytes are text, whoever wrote some."""
    return answer.decode(errors='replace').encode()


def _read_objects(
    kind: str,
    objects: tuple[object, ...],
    era: int,
) -> list[StoredObject]:
    read = []
    for one in objects:
        try:
            stored = StoredObject.model_validate(one)
            read.append(stored.model_copy(update={'era': era}))
        except ValidationError as error:
            # Without a name nothing can be said of it.
            log_warning('object-unreadable', kind=kind, reason=str(error))
    return read
