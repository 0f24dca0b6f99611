"""The client of the platform's store against the stand-in."""

import asyncio
from random import Random

import pytest
from lib.rig import until
from lib.specs import ADDRESS
from lib.store_standin import StoreStandin
from result import Ok

from wardstair.platform.store import Store
from wardstair.state import watching
from wardstair.state.contact import StoreContact
from wardstair.state.watching import KindWatcher, WatchPlan, WatchSinks


def test_dropped_watches_do_not_hold_up_other_calls(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Drop watches as often as a day with many changes does in half a minute.
    monkeypatch.setattr(watching, 'MIN_WATCH_AGE_SECONDS', 0.0)

    async def main() -> None:
        standin = StoreStandin()
        standin.start()
        store = Store(f'{ADDRESS}:{standin.port}')
        contact = StoreContact(lambda: 0.0, Random(1))
        heard: list[str] = []
        watcher = KindWatcher(
            store,
            contact,
            WatchPlan('servers'),
            WatchSinks(
                lambda listing: None,
                lambda changes: heard.extend(
                    change.stored.metadata.name for change in changes.changes
                ),
                lambda revision: None,
            ),
        )
        task = asyncio.ensure_future(watcher.run())
        for number in range(40):
            before = number + 1
            await until(lambda: len(standin.calls) > before)  # noqa: B023
            watcher.drop_watch()
        await until(lambda: len(standin.calls) > 41)
        standin.put('servers', 'i-1', {})
        await until(lambda: heard == ['i-1'])
        assert isinstance(await store.list_kind('servers'), Ok)
        task.cancel()
        store.close()
        await standin.stop()

    asyncio.run(main())
