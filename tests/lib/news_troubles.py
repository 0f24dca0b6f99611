"""Faults and restarts in a simulated fleet, alone or in pairs.

The name of a trouble is part of the seed of its random numbers.
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from itertools import combinations
from random import Random

from loguru import logger

from lib.news_player import Leaving, NewsPlay, layout_of, without_clients
from lib.virtual_time import run_virtual
from wardstair.gateway.settings import Bounds

# Time for a fleet to settle before the troubles begin.
CALM_SECONDS = 6.0
# When upstreams leave, in seconds after the troubles begin.
LEAVE_OFFSETS = (0.05, 0.4, 0.9, 1.5, 2.1, 2.8)
# Duration of the simulation after the troubles begin.
AFTER_SECONDS = 9.0
FREEZE_SECONDS = 3.0
ADDED_LATENCY_SECONDS = 0.3
MAX_SPREAD_SECONDS = 0.1
# Lifetimes of upstreams that leave soon after their start, and the intervals
# between their starts.
LIFETIMES_SECONDS = (0.05, 0.6)
START_INTERVALS_SECONDS = (0.02, 0.5)
FIRST_ADDED_PORT = 9000
# Duration of troubles that do not end by themselves.
TROUBLE_SECONDS = 6.0
BOUNDS = Bounds(
    drain_seconds=2.5,
    apply_seconds=2.5,
    evacuate_seconds=5,
    contact_seconds=3.0,
)
_RELEVANT_EVENTS = (
    'upstreams-read',
    'upstreams-adopted',
    'watch-renewed',
    'watch-forgotten',
    'state-not-fetched',
    'news-ignored',
    'store-',
    'role',
    'sentinel',
    'host-st',
    'host-paused',
)
Trouble = Callable[[NewsPlay, Random], Awaitable[None]]


async def watches_silent(play: NewsPlay, _random: Random) -> None:
    """Never answer the calls in progress on the store; new ones work."""
    play.silence_watches(play.places.values())


async def one_still(play: NewsPlay, _random: Random) -> None:
    """Freeze the first sentinel."""
    await play.stand_still(play.sentinels[0], FREEZE_SECONDS)


async def both_still(play: NewsPlay, _random: Random) -> None:
    """Freeze both sentinels."""
    await _freeze_all(play, play.sentinels)


async def still_in_turn(play: NewsPlay, _random: Random) -> None:
    """Freeze one sentinel, and the other one later."""
    first, second = play.sentinels[:2]
    still = asyncio.ensure_future(play.stand_still(first, FREEZE_SECONDS))
    await asyncio.sleep(0.7)
    await asyncio.gather(still, play.stand_still(second, FREEZE_SECONDS))


async def successors_still(play: NewsPlay, _random: Random) -> None:
    """Freeze both sentinels, and two successors as they take over."""
    first = play.sentinels
    still = [asyncio.ensure_future(_freeze_all(play, first))]
    seen = set(first)
    end = play.now + FREEZE_SECONDS
    while play.now < end and len(seen) < len(first) + 2:
        await asyncio.sleep(0.02)
        for name in play.sentinels:
            if name not in seen:
                seen.add(name)
                freezing = play.stand_still(name, FREEZE_SECONDS)
                still.append(asyncio.ensure_future(freezing))
    await asyncio.gather(*still)


async def _freeze_all(play: NewsPlay, names: list[str]) -> None:
    await asyncio.gather(
        *(play.stand_still(name, FREEZE_SECONDS) for name in names)
    )


async def datagrams_lost(play: NewsPlay, _random: Random) -> None:
    """Drop a third of all datagrams."""
    play.loss = 1 / 3
    await asyncio.sleep(TROUBLE_SECONDS)
    play.loss = 0.0


async def store_late(play: NewsPlay, _random: Random) -> None:
    """Delay each answer of the store."""
    play.store_faults.late_seconds = ADDED_LATENCY_SECONDS
    await _disturb(play, TROUBLE_SECONDS)
    play.store_faults.late_seconds = 0.0


async def ways_late(play: NewsPlay, _random: Random) -> None:
    """Delay datagrams and fetches of all hosts except sentinels."""
    sentinels = play.sentinels
    places = [one for name, one in play.places.items() if name not in sentinels]
    for place in places:
        place.extra_seconds = ADDED_LATENCY_SECONDS
    await asyncio.sleep(TROUBLE_SECONDS)
    for place in places:
        place.extra_seconds = 0.0


async def store_forgets(play: NewsPlay, _random: Random) -> None:
    """Withhold events from watches, then end all watches with 410."""
    play.store_faults.withholds_events = True
    play.store_faults.stale_seconds = 3.0
    await _disturb(play, 1.0)
    play.store_faults.withholds_events = False
    play.store_faults.stale_seconds = 0.0
    for kind in list(play.store.kinds):
        play.store.compact(kind)


async def store_cut(play: NewsPlay, _random: Random) -> None:
    """Reset all connections to the store and refuse new ones."""
    play.store_faults.refuses_connections = True
    play.reset_calls()
    await _disturb(play, 0.6)
    play.store_faults.refuses_connections = False


async def _disturb(play: NewsPlay, seconds: float) -> None:
    """Wait, and mark this time as a disturbance of all hosts.

    The bound applies again after a contact period without disturbance.
    """
    play.disturbed_at = max(play.disturbed_at, play.now + seconds)
    await asyncio.sleep(seconds)


async def host_deaf(play: NewsPlay, random: Random) -> None:
    """Let a host that is no sentinel receive nothing from others."""
    place = play.places[_draw_non_sentinel(play, random)]
    place.is_deaf = True
    await asyncio.sleep(TROUBLE_SECONDS)
    place.is_deaf = False


async def host_mute(play: NewsPlay, random: Random) -> None:
    """Let other hosts receive nothing from the first sentinel."""
    place = play.places[play.sentinels[0]]
    place.is_mute = True
    await asyncio.sleep(TROUBLE_SECONDS)
    place.is_mute = False


async def fetches_fail(play: NewsPlay, random: Random) -> None:
    """Fail all fetches from other hosts by a host that is no sentinel."""
    place = play.places[_draw_non_sentinel(play, random)]
    place.fails_fetches = True
    await asyncio.sleep(TROUBLE_SECONDS)
    place.fails_fetches = False


async def host_starts(play: NewsPlay, random: Random) -> None:
    """Start a host while updates are spreading."""
    zone = random.choice(list(play.layout.zones))
    await play.start(play.add(zone), after=random.uniform(0, 1.5))


async def zone_restarted(play: NewsPlay, random: Random) -> None:
    """Restart two hosts of a zone, or its only one."""
    zone = random.choice(list(play.layout.zones))
    names = [
        name
        for name, place in play.places.items()
        if place.settings.zone == zone
    ]
    await _restart_all(play, names[:2], 1.5)


async def rolling_restart(play: NewsPlay, random: Random) -> None:
    """Restart all hosts, one after another."""
    names = list(play.places)
    random.shuffle(names)
    await _restart_all(play, names, TROUBLE_SECONDS / len(names))


async def _restart_all(play: NewsPlay, names: list[str], pause: float) -> None:
    restarts = []
    for name in names:
        restarts.append(asyncio.ensure_future(play.restart(name)))
        await asyncio.sleep(pause)
    await asyncio.gather(*restarts)


async def five_added(play: NewsPlay, random: Random) -> None:
    """Add five hosts at once."""
    zones = random.choices(list(play.layout.zones), k=5)
    await asyncio.gather(*(play.start(play.add(zone)) for zone in zones))


async def removals(_play: NewsPlay, _random: Random) -> None:
    """Do nothing; `_play` then removes upstreams that were not draining."""


async def answers_spread(play: NewsPlay, _random: Random) -> None:
    """Delay each answer of the store by a random time."""
    play.store_faults.spread_seconds = MAX_SPREAD_SECONDS
    await asyncio.sleep(TROUBLE_SECONDS)
    play.store_faults.spread_seconds = 0.0


async def short_lives(play: NewsPlay, random: Random) -> None:
    """Start upstreams that leave again within the coalescing delay."""
    zones = list(play.layout.zones)
    end = play.now + TROUBLE_SECONDS
    lives: list[asyncio.Future[None]] = []
    while play.now < end:
        port = FIRST_ADDED_PORT + len(lives)
        lives.append(
            asyncio.ensure_future(
                _live_shortly(play, port, random.choice(zones), random),
            )
        )
        await asyncio.sleep(random.uniform(*START_INTERVALS_SECONDS))
    await asyncio.gather(*lives)


async def _live_shortly(
    play: NewsPlay, port: int, zone: str, random: Random
) -> None:
    play.add_upstream(f'short-{port}', port, zone)
    await asyncio.sleep(random.uniform(*LIFETIMES_SECONDS))
    play.remove_upstream(f'short-{port}')


async def host_still(play: NewsPlay, random: Random) -> None:
    """Freeze a host that is no sentinel."""
    await play.stand_still(_draw_non_sentinel(play, random), 1.5)


def _draw_non_sentinel(play: NewsPlay, random: Random) -> str:
    """Return a random host that is no sentinel."""
    sentinels = play.sentinels
    return random.choice([one for one in play.places if one not in sentinels])


TROUBLES: dict[str, Trouble] = {
    one.__name__: one
    for one in (
        watches_silent,
        one_still,
        both_still,
        still_in_turn,
        successors_still,
        datagrams_lost,
        store_late,
        ways_late,
        store_forgets,
        store_cut,
        host_deaf,
        host_mute,
        fetches_fail,
        host_starts,
        zone_restarted,
        rolling_restart,
        five_added,
        removals,
        host_still,
        answers_spread,
        short_lives,
    )
}


def all_cases() -> list[tuple[str, ...]]:
    """Return each trouble alone and each pair of troubles."""
    return [(name,) for name in TROUBLES] + list(combinations(TROUBLES, 2))


@dataclass(frozen=True)
class Age:
    """Longest use of an upstream after the store acknowledged that it leaves.

    Attributes:
        seconds: Time after the acknowledgement.
        host: Host that used it.
        upstream: Name of the upstream.
        offset: Time from the start of the troubles to the acknowledgement, in
            seconds.
    """

    seconds: float = 0.0
    host: str = ''
    upstream: str = ''
    offset: float = 0.0


@dataclass(frozen=True)
class Outcome:
    """Result of a simulation.

    Attributes:
        held: Longest use by a host undisturbed for the contact period.
        ran: Longest use by any running host.
        chain: Log lines that explain `ran`, with their times in seconds after
            the acknowledgement.
    """

    held: Age
    ran: Age
    chain: tuple[str, ...]


@dataclass(frozen=True)
class _LogLine:
    at: float
    process: str
    text: str


def play_troubles(
    names: tuple[str, ...],
    zones: int,
    hosts: int,
    seed: int,
) -> Outcome:
    """Simulate a settled fleet, then troubles while upstreams leave.

    Args:
        names: Names of the troubles, which begin at the same time.
        zones: Number of zones in each of three regions.
        hosts: Number of hosts in each zone.
        seed: Seed of all random numbers.
    """
    lines: list[_LogLine] = []

    def note(message: object) -> None:
        record = message.record  # type: ignore[attr-defined]
        process = str(record['extra'].get('process', ''))
        now = asyncio.get_running_loop().time()
        lines.append(_LogLine(now, process, str(record['message'])))

    logger.remove()
    sink = logger.add(note, format='{message}', level='INFO')
    try:
        return run_virtual(lambda: _play(names, (zones, hosts), seed, lines))
    finally:
        logger.remove(sink)


async def _play(
    names: tuple[str, ...],
    size: tuple[int, int],
    seed: int,
    lines: list[_LogLine],
) -> Outcome:
    with without_clients():
        layout = layout_of(3, *size)
        play = NewsPlay(layout, BOUNDS, 24, seed)
        await play.start_all()
        looking = asyncio.ensure_future(play.look())
        await _settle(play)
        began = play.now
        troubles = [
            asyncio.ensure_future(
                _run_trouble(TROUBLES[name], play, Random(f'{seed} {name}')),
            )
            for name in names
        ]
        leave = play.remove_upstream if 'removals' in names else play.let_leave
        for number, offset in enumerate(LEAVE_OFFSETS):
            await asyncio.sleep(began + offset - play.now)
            leave(f'i-{number}')
        await asyncio.sleep(began + AFTER_SECONDS - play.now)
        outcome = _outcome(play, began, lines)
        for failed in troubles:
            if failed.done():
                failed.result()
            failed.cancel()
        looking.cancel()
        await asyncio.gather(looking, *troubles, return_exceptions=True)
        await play.close()
        return outcome


async def _settle(play: NewsPlay) -> None:
    """Let a fleet settle, and end the watches left over from its start.

    At its start each host acts as a sentinel. Its watch of upstreams would wait
    for 25 s and hide a failure of both sentinels.
    """
    for _ in range(2):
        await asyncio.sleep(CALM_SECONDS / 3)
        entry = play.store.kind('servers').objects['i-23']
        play.store.put('servers', 'i-23', entry['spec'])
    await asyncio.sleep(CALM_SECONDS / 3)


async def _run_trouble(
    trouble: Trouble,
    play: NewsPlay,
    random: Random,
) -> None:
    await trouble(play, random)


def _outcome(play: NewsPlay, began: float, lines: list[_LogLine]) -> Outcome:
    held = [_age_of(left, left.held, began) for left in play.leaving]
    ran = [_age_of(left, left.ran, began) for left in play.leaving]
    worst = max(ran, key=_seconds)
    return Outcome(
        max(held, key=_seconds),
        worst,
        _events_until(lines, worst, began),
    )


def _age_of(left: Leaving, worst: tuple[float, str], began: float) -> Age:
    return Age(worst[0], worst[1], left.name, left.at - began)


def _seconds(age: Age) -> float:
    return age.seconds


def _events_until(
    lines: list[_LogLine],
    age: Age,
    began: float,
) -> tuple[str, ...]:
    """Return the relevant log lines until the end of an age."""
    at = began + age.offset
    end = at + age.seconds + 0.05
    return tuple(
        f'{line.at - at:+.3f} {line.process} {line.text}'
        for line in lines
        if min(at, began) - 0.05 <= line.at <= end and _is_relevant(line.text)
    )


def _is_relevant(text: str) -> bool:
    return any(text.startswith(f'event={event}') for event in _RELEVANT_EVENTS)
