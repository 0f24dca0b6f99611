"""Outcomes of writes of a roll-out's record."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from random import Random

import pytest
from lib.revisions import at
from lib.rollouts import KnowingHost, order_spec, record_of, rollout_of
from lib.specs import ADDRESS
from result import Err, Ok, Result

from wardstair.decisions.rollouts import RolloutState
from wardstair.errors import (
    ObjectMissing,
    PlatformError,
    PlatformUnavailable,
    VersionConflict,
)
from wardstair.platform.objects import Metadata, StoredObject
from wardstair.platform.rollouts import encode_record
from wardstair.platform.store import CallKind, CallLabels, Store
from wardstair.platform.store_answers import Answer, StatusWrite
from wardstair.state.contact import StoreContact
from wardstair.state.rollout_records import (
    RecordRefused,
    RecordUnknown,
    RecordWritten,
    RolloutRecords,
)
from wardstair.state.rollouts import RolloutRecord, UnusableRollout

COMPLETE = record_of('v2', RolloutState.complete)
ROLLED_BACK = record_of('v2', RolloutState.rolled_back)
RUNNING = record_of('v2', reserved=40)
ORDERED = rollout_of('v2', at(11))
LOST = Err(PlatformUnavailable('timed out'))


def stored(
    number: int, record: RolloutRecord | None, version: str = 'v2', era: int = 1
) -> StoredObject:
    return StoredObject(
        metadata=Metadata(name='views', revision=number),
        spec=order_spec(version),
        status=None if record is None else encode_record(record),
        era=era,
    )


class _Writer:
    """A host that writes records, with the answers that it gets."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.host = KnowingHost()
        self.host.serve('v1', 'v2')
        self.host.read(at(12), ORDERED)
        self.store = Store(f'{ADDRESS}:1')
        self.contact = StoreContact(self.host.clock, Random(1))
        self.contact.note_success()
        self.records = RolloutRecords(self.store, self.contact, self.host.table)
        self.answers: list[Result[StatusWrite, PlatformError]] = []
        self.held: Result[StoredObject, PlatformError] = LOST
        self.conditions: list[int] = []
        self.reads = 0
        monkeypatch.setattr(self.store, 'replace_status', self._replace)
        monkeypatch.setattr(self.store, 'read', self._read)

    async def _replace(
        self, _kind: str, _name: str, _status: object, revision: int
    ) -> Result[StatusWrite, PlatformError]:
        self.conditions.append(revision)
        return self.answers.pop(0)

    async def _read(
        self, _kind: str, _name: str
    ) -> Result[StoredObject, PlatformError]:
        self.reads += 1
        return self.held


def run(
    monkeypatch: pytest.MonkeyPatch,
    test: Callable[[_Writer], Awaitable[None]],
) -> None:
    async def main() -> None:
        writer = _Writer(monkeypatch)
        try:
            await test(writer)
        finally:
            writer.store.close()

    asyncio.run(main())


def test_a_written_record_is_adopted(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test(writer: _Writer) -> None:
        writer.answers = [Ok(StatusWrite(True, stored(13, RUNNING)))]
        outcome = await writer.records.write(ORDERED, RUNNING)
        expected = rollout_of('v2', at(13), RUNNING)
        assert outcome == RecordWritten(expected)
        assert writer.host.table.running == (expected,)
        assert writer.conditions == [11]
        assert writer.reads == 0
        assert not writer.records.may_take_effect('views')

    run(monkeypatch, test)


def test_an_answer_without_the_object_is_followed_by_a_read(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test(writer: _Writer) -> None:
        writer.answers = [Ok(StatusWrite(True, None))]
        writer.held = Ok(stored(13, RUNNING))
        outcome = await writer.records.write(ORDERED, RUNNING)
        assert outcome == RecordWritten(rollout_of('v2', at(13), RUNNING))

    run(monkeypatch, test)


def test_what_another_host_wrote_first_is_adopted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test(writer: _Writer) -> None:
        held = stored(13, ROLLED_BACK)
        writer.answers = [Ok(StatusWrite(False, held))]
        outcome = await writer.records.write(ORDERED, COMPLETE)
        expected = rollout_of('v2', at(13), ROLLED_BACK)
        assert isinstance(outcome, RecordRefused)
        assert outcome.held == expected
        assert writer.host.table.of_service('views') == expected

    run(monkeypatch, test)


def test_a_conflict_with_the_own_record_means_written(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test(writer: _Writer) -> None:
        writer.answers = [Ok(StatusWrite(False, stored(13, COMPLETE)))]
        outcome = await writer.records.write(ORDERED, COMPLETE)
        assert outcome == RecordWritten(rollout_of('v2', at(13), COMPLETE))

    run(monkeypatch, test)


def test_the_object_is_read_after_an_unanswered_write(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test(writer: _Writer) -> None:
        writer.answers = [LOST]
        records = writer.records
        outcome = await records.write(ORDERED, COMPLETE)
        assert isinstance(outcome, RecordUnknown)
        assert records.may_take_effect('views')
        # Neither is anything written while the object cannot be read.
        outcome = await records.write(ORDERED, ROLLED_BACK)
        assert isinstance(outcome, RecordUnknown)
        assert writer.conditions == [11]
        writer.held = Ok(stored(13, COMPLETE))
        outcome = await records.write(ORDERED, ROLLED_BACK)
        assert isinstance(outcome, RecordRefused)
        assert outcome.held == rollout_of('v2', at(13), COMPLETE)
        assert writer.conditions == [11]
        assert not records.may_take_effect('views')

    run(monkeypatch, test)


def test_an_unanswered_write_may_take_effect_until_the_revision_changes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test(writer: _Writer) -> None:
        writer.held = Ok(stored(11, None))
        writer.answers = [LOST, LOST]
        for _ in range(2):
            outcome = await writer.records.write(ORDERED, COMPLETE)
            assert isinstance(outcome, RecordUnknown)
        assert writer.reads == 1
        assert writer.conditions == [11, 11]
        assert writer.records.may_take_effect('views')
        writer.host.read(at(14), rollout_of('v2', at(14), ROLLED_BACK))
        assert not writer.records.may_take_effect('views')

    run(monkeypatch, test)


def test_a_write_that_changes_nothing_leaves_an_earlier_one_open(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test(writer: _Writer) -> None:
        running = rollout_of('v2', at(13), RUNNING)
        writer.host.read(at(13), running)
        same = stored(13, RUNNING)
        writer.held = Ok(same)
        unchanged = Ok(StatusWrite(True, same))
        writer.answers = [unchanged]
        await writer.records.write(running, RUNNING)
        assert not writer.records.may_take_effect('views')
        writer.answers = [LOST, unchanged]
        for _ in range(2):
            await writer.records.write(running, RUNNING)
        assert writer.records.may_take_effect('views')

    run(monkeypatch, test)


def test_a_lost_write_alone_does_not_end_contact(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test(writer: _Writer) -> None:
        writer.host.clock.now = asyncio.get_running_loop().time() + 1
        writer.contact.note_success()
        writer.answers = [LOST]
        await writer.records.write(ORDERED, COMPLETE)
        assert writer.contact.is_held
        writer.host.clock.now = asyncio.get_running_loop().time() - 1
        writer.contact.note_success()
        await writer.records.write(ORDERED, COMPLETE)
        assert writer.contact.is_lost

    run(monkeypatch, test)


def test_an_order_that_is_gone_takes_no_record(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test(writer: _Writer) -> None:
        writer.answers = [Err(ObjectMissing('views'))]
        outcome = await writer.records.write(ORDERED, COMPLETE)
        assert isinstance(outcome, RecordRefused)
        assert outcome.held is None

    run(monkeypatch, test)


@pytest.mark.parametrize('end', [COMPLETE, ROLLED_BACK])
@pytest.mark.parametrize('record', [COMPLETE, ROLLED_BACK, RUNNING])
def test_nothing_is_written_over_an_end(
    monkeypatch: pytest.MonkeyPatch, end: RolloutRecord, record: RolloutRecord
) -> None:
    async def test(writer: _Writer) -> None:
        ended = rollout_of('v2', at(13), end)
        writer.host.read(at(13), ended)
        outcome = await writer.records.write(ended, record)
        assert isinstance(outcome, RecordRefused)
        assert writer.conditions == []

    run(monkeypatch, test)


@pytest.mark.parametrize(
    ('record', 'is_written'), [(COMPLETE, True), (ROLLED_BACK, False)]
)
def test_a_restored_store_gets_the_known_end_only(
    monkeypatch: pytest.MonkeyPatch,
    record: RolloutRecord,
    *,
    is_written: bool,
) -> None:
    async def test(writer: _Writer) -> None:
        writer.host.read(at(13), rollout_of('v2', at(13), COMPLETE))
        writer.host.read(at(12, 2), rollout_of('v2', at(11, 2), RUNNING))
        (lacking,) = writer.host.table.records_to_restore
        written = stored(13, record, era=2)
        writer.answers = [Ok(StatusWrite(True, written))]
        outcome = await writer.records.write(lacking, record)
        assert isinstance(outcome, RecordWritten) is is_written
        assert bool(writer.conditions) is is_written
        if is_written:
            assert not writer.host.table.records_to_restore

    run(monkeypatch, test)


def test_the_object_is_read_after_a_restore_of_the_store(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test(writer: _Writer) -> None:
        writer.store.era = 2
        # The restored store has issued the same number again.
        writer.held = Ok(stored(11, None, version='v3', era=2))
        outcome = await writer.records.write(ORDERED, COMPLETE)
        assert isinstance(outcome, RecordRefused)
        assert writer.conditions == []
        assert writer.reads == 1

    run(monkeypatch, test)


def test_a_refusal_is_recorded_once(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test(writer: _Writer) -> None:
        table = writer.host.table
        refused = UnusableRollout('duration_s', 'more', 'views', 'v2')
        table.replace_all([], at(14), 'listing', [refused])
        (to_record,) = table.refusals_to_record
        record = to_record.record
        assert record is not None
        held = stored(15, record).model_copy(
            update={'spec': order_spec(duration_s=0)}
        )
        writer.answers = [Ok(StatusWrite(True, held))]
        outcome = await writer.records.write(to_record, record)
        assert isinstance(outcome, RecordWritten)
        assert not table.refusals_to_record

    run(monkeypatch, test)


@pytest.mark.parametrize('is_conflict', [False, True])
def test_a_write_of_a_status_is_counted_and_answers_with_the_object(
    monkeypatch: pytest.MonkeyPatch, *, is_conflict: bool
) -> None:
    async def main() -> None:
        store = Store(f'{ADDRESS}:1')
        store.era = 1
        held = stored(13, RUNNING)
        body = held.model_dump_json(exclude={'era'}).encode()

        async def call(
            method: str, path: str, document: object
        ) -> Result[Answer, PlatformError]:
            assert (method, path) == ('PUT', '/objects/rollouts/views/status')
            assert json.loads(json.dumps(document)) == {
                'metadata': {'name': 'views', 'revision': 11},
                'status': {'state': 'running'},
            }
            if is_conflict:
                return Err(VersionConflict('PUT', body=body))
            return Ok(Answer(body, 1))

        monkeypatch.setattr(store, '_call', call)
        written = await store.replace_status(
            'rollouts', 'views', {'state': 'running'}, 11
        )
        assert written == Ok(StatusWrite(not is_conflict, held))
        labels = CallLabels(CallKind.status_replacement, 'rollouts')
        assert store.calls == {labels: 1}
        store.close()

    asyncio.run(main())
