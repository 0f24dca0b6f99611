"""Writes the records of roll-outs to the platform's store.

Each write is conditional on the revision of the object, so that of two writes
only one takes effect, also if one of them is late or its answer is lost.
"""

import asyncio
from dataclasses import dataclass

from result import Err, Ok, Result

from wardstair.errors import ObjectMissing, PlatformError
from wardstair.platform.objects import StoredObject
from wardstair.platform.rollouts import (
    ROLLOUT_KIND,
    decode_rollout,
    encode_record,
)
from wardstair.platform.store import Store
from wardstair.process.log import log_event, log_warning
from wardstair.state.contact import StoreContact
from wardstair.state.revision import Revision
from wardstair.state.rollouts import (
    Rollout,
    RolloutOrder,
    RolloutRecord,
    RolloutTable,
    UnusableRollout,
)


@dataclass(frozen=True, slots=True)
class RecordWritten:
    """The store holds the record.

    Attributes:
        rollout: The roll-out with the record and the new revision.
    """

    rollout: Rollout


@dataclass(frozen=True, slots=True)
class RecordRefused:
    """The record was not written, and will not be.

    Attributes:
        held: What the store holds; None if the order is gone.
        reason: Why it was not written.
    """

    held: Rollout | UnusableRollout | None
    reason: str


@dataclass(frozen=True, slots=True)
class RecordUnknown:
    """The store has not answered, so the record may be written at any time.

    Attributes:
        reason: What happened.
    """

    reason: str


RecordOutcome = RecordWritten | RecordRefused | RecordUnknown


class RolloutRecords:
    """Writes records; one per process."""

    def __init__(
        self, store: Store, contact: StoreContact, table: RolloutTable
    ) -> None:
        """Initialize without calling the store.

        Args:
            store: The store.
            contact: Contact with it.
            table: Adopts what the store holds.
        """
        self._store = store
        self._contact = contact
        self._table = table
        # Revisions on which writes depend that were not answered, by service.
        self._unanswered: dict[str, Revision] = {}
        # Serializes the writes of this host.
        self._writing = asyncio.Lock()

    def may_take_effect(self, service: str) -> bool:
        """Return whether an unanswered write may still take effect.

        It cannot once the object has another revision.
        """
        condition = self._unanswered.get(service)
        if condition is None:
            return False
        return self._table.stored_revision(service) == condition

    async def write(
        self, rollout: Rollout, record: RolloutRecord
    ) -> RecordOutcome:
        """Write a record if the object has the revision of a roll-out.

        After an unanswered write, and after a restore of the store, the object
        is read first.

        Args:
            rollout: The roll-out as it is known.
            record: The record.
        """
        async with self._writing:
            outcome = await self._write(rollout, record)
        _log(rollout, record, outcome)
        return outcome

    async def _write(
        self, rollout: Rollout, record: RolloutRecord
    ) -> RecordOutcome:
        service = rollout.service
        is_restored = rollout.revision.era < self._store.era
        if is_restored or self.may_take_effect(service):
            stale = await self._reload(rollout, record)
            if stale is not None:
                return stale
        if not self._table.accepts(rollout, record):
            return RecordRefused(
                self._table.of_service(service), 'another end is recorded'
            )
        earlier = self._unanswered.get(service)
        asked_at = self._now()
        self._unanswered[service] = rollout.revision
        written = await self._store.replace_status(
            ROLLOUT_KIND,
            service,
            encode_record(record),
            rollout.revision.number,
        )
        if isinstance(written, Err):
            return self._failed(service, written.err_value, asked_at)
        self._contact.note_success()
        if earlier != rollout.revision:
            self._unanswered.pop(service)
        stored = written.ok_value.stored
        if stored is None:
            # The answer lacks the object.
            return await self._read_outcome(service, record)
        return self._outcome(stored, record)

    async def _reload(
        self, rollout: Rollout, record: RolloutRecord
    ) -> RecordOutcome | None:
        """Read the object before a write.

        Returns:
            None if it has the expected revision, else the outcome.
        """
        service = rollout.service
        asked_at = self._now()
        read = await self._read(service)
        if isinstance(read, Err):
            return self._failed(service, read.err_value, asked_at)
        if read.ok_value.revision == rollout.revision:
            return None
        return self._outcome(read.ok_value, record)

    async def _read_outcome(
        self, service: str, record: RolloutRecord
    ) -> RecordOutcome:
        asked_at = self._now()
        read = await self._read(service)
        if isinstance(read, Err):
            return self._failed(service, read.err_value, asked_at)
        return self._outcome(read.ok_value, record)

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    async def _read(self, service: str) -> Result[StoredObject, PlatformError]:
        read = await self._store.read(ROLLOUT_KIND, service)
        if isinstance(read, Ok):
            self._contact.note_success()
            self._table.adopt(decode_rollout(read.ok_value))
        return read

    def _outcome(
        self, stored: StoredObject, record: RolloutRecord
    ) -> RecordOutcome:
        """Adopt the object of an answer; return whether it has the record."""
        held = decode_rollout(stored)
        self._table.adopt(held)
        if self._unanswered.get(held.service) != held.revision:
            self._unanswered.pop(held.service, None)
        if held.record != record:
            return RecordRefused(held, 'another revision holds')
        order = RolloutOrder(held.service, record.version, 0.0)
        if isinstance(held, Rollout):
            order = held.order
        return RecordWritten(Rollout(order, record, held.revision))

    def _failed(
        self, service: str, error: PlatformError, asked_at: float
    ) -> RecordOutcome:
        match error:
            case ObjectMissing():
                self._contact.note_success()
                self._unanswered.pop(service, None)
                return RecordRefused(None, 'the order is gone')
            case _:
                reason = getattr(error, 'message', type(error).__name__)
                heard_at = self._contact.heard_at
                if heard_at is None or heard_at <= asked_at:
                    self._contact.note_failure(f'rollout record: {reason}')
                return RecordUnknown(reason)


def _log(
    rollout: Rollout, record: RolloutRecord, outcome: RecordOutcome
) -> None:
    match outcome:
        case RecordWritten(rollout=written):
            log_event(
                'rollout-recorded',
                service=written.service,
                target=record.version,
                state=record.state.value,
                stage=record.stage.name,
                reserved=record.reserved,
                revision=written.revision,
                reason=record.reason,
            )
        case RecordRefused(reason=reason) | RecordUnknown(reason=reason):
            log_warning(
                'rollout-not-recorded',
                service=rollout.service,
                target=record.version,
                state=record.state.value,
                stage=record.stage.name,
                reserved=record.reserved,
                revision=rollout.revision,
                outcome=type(outcome).__name__,
                reason=reason,
            )
