"""Parses answers of the platform's store.

An invalid object is skipped; the other objects of the same answer are used.
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
from wardstair.platform.json_reader import parse_document
from wardstair.platform.objects import StoredObject
from wardstair.process.log import log_warning
from wardstair.state.revision import Revision


class _Model(BaseModel):
    model_config = ConfigDict(extra='ignore', frozen=True)


class _Page(_Model):
    # Validated one by one, so that an invalid object is skipped alone.
    items: tuple[object, ...]
    truncated: bool = False
    # Revision of the store at which the page was read.
    as_of: int


class _Event(_Model):
    object: object
    deleted: bool = False


class _Events(_Model):
    events: tuple[_Event, ...]
    as_of: int


@dataclass(frozen=True, slots=True)
class Answer:
    """Body of a successful answer, and the store's era at that time."""

    body: bytes
    era: int


@dataclass(frozen=True, slots=True)
class Listing:
    """All objects of a kind.

    Attributes:
        objects: The objects.
        revision: Revision from which a watch continues.
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
        changes: The changes in order.
        revision: Revision from which the next watch continues.
    """

    changes: tuple[Change, ...]
    revision: Revision


@dataclass(frozen=True, slots=True)
class StatusWrite:
    """Outcome of a conditional write that the store has answered.

    Attributes:
        is_written: Whether the condition held.
        stored: The object as it is now; None if the answer lacks it.
    """

    is_written: bool
    stored: StoredObject | None


@dataclass(frozen=True, slots=True)
class Page:
    """A page of a listing.

    Attributes:
        objects: The valid objects of the page.
        is_last: Whether this is the last page.
        revision: Revision of the store at which the page was read.
    """

    objects: tuple[StoredObject, ...]
    is_last: bool
    revision: Revision


def read_body(
    response: HTTPResponse, call: str
) -> Result[bytes, PlatformError]:
    """Return the body of a successful answer.

    Args:
        response: The HTTP response.
        call: Method and path of the call, for error messages.

    Returns:
        The body, or the error that the status code stands for.
    """
    match response.code:
        case 200 | 201:
            return Ok(response.body or b'')
        case 404:
            return Err(ObjectMissing(call))
        case 409:
            return Err(VersionConflict(call, body=response.body or b''))
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
        page = parse_document(_Page, answer.body)
    except ValidationError as error:
        return Err(PlatformUnavailable(f'invalid list: {error}'))
    objects = tuple(_read_objects(kind, page.items, answer.era))
    is_last = not page.truncated or not page.items
    if not is_last and not objects:
        # The start of the next page is unknown. With a listing that ends here,
        # all later objects would seem to be deleted.
        return Err(PlatformUnavailable(f'no valid object in a page of {kind}'))
    return Ok(Page(objects, is_last, Revision(answer.era, page.as_of)))


def read_changes(kind: str, answer: Answer) -> Result[Changes, PlatformError]:
    """Read the events of a watch.

    Args:
        kind: The kind of objects.
        answer: The answer.
    """
    try:
        parsed = parse_document(_Events, answer.body)
    except ValidationError as error:
        return Err(PlatformUnavailable(f'invalid events: {error}'))
    changes = [
        Change(stored, event.deleted)
        for event in parsed.events
        for stored in _read_objects(kind, (event.object,), answer.era)
    ]
    return Ok(Changes(tuple(changes), Revision(answer.era, parsed.as_of)))


def read_object(answer: Answer) -> Result[StoredObject, PlatformError]:
    """Read a single object.

    Args:
        answer: The answer.
    """
    try:
        return Ok(_decode(answer))
    except ValidationError as error:
        return Err(PlatformUnavailable(f'invalid object: {error}'))


def read_written(answer: Answer) -> StoredObject | None:
    """Read a written object; None if the answer does not contain it.

    Args:
        answer: The answer.
    """
    return read_object(answer).ok()


def _decode(answer: Answer) -> StoredObject:
    stored = parse_document(StoredObject, answer.body)
    return stored.model_copy(update={'era': answer.era})


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
            # The object may have no name, so only its kind is logged.
            log_warning('object-unreadable', kind=kind, reason=str(error))
    return read
