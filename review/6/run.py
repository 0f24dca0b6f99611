"""An entry whose bytes no parser reads, beside a restart of all gateways.

Another writer has put compressed bytes into an entry of `servers`. The
endpoints' own entries stay as they are. After the restart requests have to be
served again.
"""

import asyncio
import gzip
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'lib-2'))

from play import RULE_BROKEN, RULE_HELD, Client, Deployment, run  # noqa: E402

RECOVER_SECONDS = 15.0
DOWN_SECONDS = 1.5


def compressed():
    """Return compressed bytes that hold neither a quote nor a backslash."""
    for number in range(1000):
        packed = gzip.compress(f'service={number}'.encode(), mtime=0)
        if not set(packed) & set(b'"\\'):
            return packed
    raise ValueError('no such bytes')


async def send_many(deployment, client, amount, gap):
    """Send requests to all gateways in turn; return how many were served."""

    async def one(number):
        gateway = deployment.gateways[number % len(deployment.gateways)]
        order = number % 3 == 0
        _, status, head, _ = await client.send(
            gateway.front,
            f'/order/{number}' if order else f'/read/{number}',
            'POST' if order else 'GET',
            b'order' if order else b'',
            key=str(number),
        )
        return status == 200 and 'wardstair-server-seal' in head

    sending = []
    for number in range(amount):
        sending.append(asyncio.ensure_future(one(number)))
        await asyncio.sleep(gap)
    return sum(await asyncio.gather(*sending))


async def main(folder, record, trouble):
    deployment = Deployment(folder, record)
    for number, zone in enumerate(('north', 'south', 'west'), 1):
        deployment.add_endpoint(f'i-read-{number}', 'views', zone)
        deployment.add_endpoint(f'i-order-{number}', 'prints', zone)
    client = Client(record)
    try:
        await deployment.start()
        if not await deployment.wait_ready():
            raise RuntimeError('the gateways did not become ready')
        await asyncio.sleep(4)
        before = await send_many(deployment, client, 60, 0.1)
        record.note('before', served=before, of=60)
        if trouble:
            store = deployment.store
            raw = b'"' + compressed() + b'"'
            store.put('servers', 'i-other', store.raw(raw))
            record.note('entry-of-another-writer', bytes=raw.hex())
        await asyncio.sleep(5)
        during = await send_many(deployment, client, 30, 0.1)
        record.note('beside-the-entry', served=during, of=30)
        record.note('all-killed')
        await deployment.kill_all()
        await asyncio.sleep(DOWN_SECONDS)
        await deployment.start_gateways()
        record.note('all-started')
        await asyncio.sleep(RECOVER_SECONDS + 2)
        after = await send_many(deployment, client, 60, 0.1)
        record.note('after', served=after, of=60)
    finally:
        await deployment.close()
    print(f'served before {before}/60, beside {during}/30, after {after}/60')
    if before < 15:
        raise RuntimeError('too little was served before the fault')
    # RECOVER: less than a quarter is served although a quarter was before.
    return RULE_BROKEN if after * 4 < 60 else RULE_HELD


run(main, Path(__file__).with_name(sys.argv[1]))
