"""Parses answers of the platform's store.

An invalid object is skipped; the other objects of the same answer are used.
"""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from typing import Annotated

from pydantic import (
    BaseModel,
    ConfigDict,
    Field,
    RootModel,
    StrictBool,
    StrictInt,
    ValidationError,
)
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
from wardstair.platform.objects import MAX_REVISION, Metadata, StoredObject
from wardstair.process.log import log_warning
from wardstair.process.log_limit import WarningLimit
from wardstair.state.revision import Revision


class _Model(BaseModel):
    model_config = ConfigDict(extra='ignore', frozen=True)


# A larger one would hide all later changes.
_AsOf = Annotated[StrictInt, Field(ge=0, le=MAX_REVISION)]


class _Page(_Model):
    # Validated one by one, so that an invalid object is skipped alone.
    items: tuple[object, ...]
    truncated: bool = False
    # Revision of the store at which the page was read.
    as_of: _AsOf


class _Event(_Model):
    object: object
    deleted: StrictBool = False


class _Events(_Model):
    # Likewise validated one by one.
    events: tuple[object, ...]
    as_of: _AsOf


class _Single(RootModel[object]):
    """A single object, validated in a second step."""


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
        objects: The objects of the page that have a name.
        after: Name after which the next page begins; None if this is the last.
        revision: Revision of the store at which the page was read.
    """

    objects: tuple[StoredObject, ...]
    after: str | None
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


def read_page(
    kind: str,
    answer: Answer,
    warnings: WarningLimit,
) -> Result[Page, PlatformError]:
    """Read a page of a listing.

    Args:
        kind: The kind of objects.
        answer: The answer.
        warnings: Logs objects that cannot be read.
    """
    try:
        page = parse_document(_Page, answer.body)
    except ValidationError as error:
        return Err(PlatformUnavailable(f'invalid list: {error}'))
    objects = tuple(_read_objects(kind, page.items, answer.era, warnings))
    after = None
    if page.truncated and page.items:
        if not (objects and objects[-1].metadata.name):
            # The start of the next page is unknown. With a listing that ends
            # here, all later objects would seem to be deleted.
            return Err(PlatformUnavailable(f'no object to list {kind} from'))
        after = objects[-1].metadata.name
    return Ok(Page(objects, after, Revision(answer.era, page.as_of)))


def read_changes(
    kind: str,
    answer: Answer,
    warnings: WarningLimit,
) -> Result[Changes, PlatformError]:
    """Read the events of a watch.

    Args:
        kind: The kind of objects.
        answer: The answer.
        warnings: Logs events and objects that cannot be read.
    """
    try:
        parsed = parse_document(_Events, answer.body)
    except ValidationError as error:
        return Err(PlatformUnavailable(f'invalid events: {error}'))
    changes = [
        Change(stored, event.deleted)
        for event in _read_events(kind, parsed.events, warnings)
        for stored in _read_objects(kind, (event.object,), answer.era, warnings)
    ]
    return Ok(Changes(tuple(changes), Revision(answer.era, parsed.as_of)))


def read_object(
    kind: str,
    answer: Answer,
    warnings: WarningLimit,
) -> Result[StoredObject, PlatformError]:
    """Read a single object.

    Args:
        kind: The kind of the object.
        answer: The answer.
        warnings: Logs an object that cannot be read.
    """
    try:
        raw = parse_document(_Single, answer.body).root
    except ValidationError as error:
        return Err(PlatformUnavailable(f'invalid object: {error}'))
    if not (isinstance(raw, Mapping) and 'metadata' in raw):
        return Err(PlatformUnavailable('invalid object: it has no metadata'))
    stored = next(_read_objects(kind, (raw,), answer.era, warnings), None)
    if stored is None:
        return Err(PlatformUnavailable('invalid object: it has no name'))
    return Ok(stored)


def _read_events(
    kind: str, events: Iterable[object], warnings: WarningLimit
) -> Iterator[_Event]:
    for one in events:
        try:
            yield _Event.model_validate(one)
        except ValidationError as error:
            _warn(kind, '', error, warnings)


def _read_objects(
    kind: str,
    objects: Iterable[object],
    era: int,
    warnings: WarningLimit,
) -> Iterator[StoredObject]:
    """Return the objects; one with odd metadata keeps only its name.

    So it replaces the object that was known under that name.
    """
    for one in objects:
        fields = one if isinstance(one, Mapping) else {}
        try:
            yield StoredObject.model_validate({**fields, 'era': era})
        except ValidationError as error:
            name = _name_in(fields)
            _warn(kind, name, error, warnings)
            if name:
                yield StoredObject(metadata=Metadata(name=name), era=era)


def _name_in(fields: Mapping[str, object]) -> str:
    """Return the name of an object with odd metadata; '' if it has none."""
    metadata = fields.get('metadata')
    name = metadata.get('name') if isinstance(metadata, Mapping) else None
    return name if isinstance(name, str) else ''


def _warn(
    kind: str, name: str, error: ValidationError, warnings: WarningLimit
) -> None:
    first = error.errors(include_url=False, include_input=False)[0]
    path = '.'.join(str(part) for part in first['loc'])
    if warnings.admits(kind, path, name):
        log_warning(
            'object-unreadable',
            kind=kind,
            name=name,
            field=path,
            expected=first['msg'],
        )
