"""The store client of the platform against a stand-in for the store."""

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


def test_dropped_watches_do_not_delay_other_calls(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Watches are dropped as often as within half a minute of a busy day.
    monkeypatch.setattr(watching, 'MIN_WATCH_AGE_SECONDS', 0.0)

    async def main() -> None:
        standin = StoreStandin()
        standin.start()
        store = Store(f'{ADDRESS}:{standin.port}')
        contact = StoreContact(lambda: 0.0, Random(1))
        changed_names: list[str] = []
        watcher = KindWatcher(
            store,
            contact,
            WatchPlan('servers'),
            WatchSinks(
                lambda listing: None,
                lambda changes: changed_names.extend(
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
        await until(lambda: changed_names == ['i-1'])
        assert isinstance(await store.list_kind('servers'), Ok)
        task.cancel()
        store.close()
        await standin.stop()

    asyncio.run(main())
