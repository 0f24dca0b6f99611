"""Troubles that act on a played fleet, alone or two at once."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from itertools import combinations
from random import Random

from loguru import logger

from lib.news_player import Leaving, NewsPlay, layout_of, without_clients
from lib.virtual_time import run_virtual
from wardstair.gateway.settings import Bounds

CALM_SECONDS = 6.0
LEAVE_OFFSETS = (0.05, 0.4, 0.9, 1.5, 2.1, 2.8)
AFTER_SECONDS = 9.0
STILL_SECONDS = 3.0
LATE_SECONDS = 0.3
# How long troubles last that do not end by themselves.
TROUBLE_SECONDS = 6.0
BOUNDS = Bounds(
    drain_seconds=2.5,
    apply_seconds=2.5,
    evacuate_seconds=5,
    contact_seconds=3.0,
)
_EVENTS = (
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
    """Have no call that is under way be answered; new ones work."""
    play.silence_watches(play.places.values())


async def one_still(play: NewsPlay, _random: Random) -> None:
    """Have the first sentinel stand still."""
    await play.stand_still(play.sentinels[0], STILL_SECONDS)


async def both_still(play: NewsPlay, _random: Random) -> None:
    """Have both sentinels stand still."""
    await _all_still(play, play.sentinels)


async def still_in_turn(play: NewsPlay, _random: Random) -> None:
    """Have a sentinel stand still, and the next one later."""
    first, second = play.sentinels[:2]
    still = asyncio.ensure_future(play.stand_still(first, STILL_SECONDS))
    await asyncio.sleep(0.7)
    await asyncio.gather(still, play.stand_still(second, STILL_SECONDS))


async def successors_still(play: NewsPlay, _random: Random) -> None:
    """Have both sentinels stand still, and two successors as they begin."""
    first = play.sentinels
    still = [asyncio.ensure_future(_all_still(play, first))]
    seen = set(first)
    end = play.now + STILL_SECONDS
    while play.now < end and len(seen) < len(first) + 2:
        await asyncio.sleep(0.02)
        for name in play.sentinels:
            if name not in seen:
                seen.add(name)
                standing = play.stand_still(name, STILL_SECONDS)
                still.append(asyncio.ensure_future(standing))
    await asyncio.gather(*still)


async def _all_still(play: NewsPlay, names: list[str]) -> None:
    await asyncio.gather(
        *(play.stand_still(name, STILL_SECONDS) for name in names)
    )


async def datagrams_lost(play: NewsPlay, _random: Random) -> None:
    """Lose a third of all datagrams."""
    play.loss = 1 / 3
    await asyncio.sleep(TROUBLE_SECONDS)
    play.loss = 0.0


async def store_late(play: NewsPlay, _random: Random) -> None:
    """Have each answer of the store arrive late."""
    play.trouble.late_seconds = LATE_SECONDS
    await _disturbed(play, TROUBLE_SECONDS)
    play.trouble.late_seconds = 0.0


async def ways_late(play: NewsPlay, _random: Random) -> None:
    """Have the ways of all hosts but sentinels be late."""
    sentinels = play.sentinels
    places = [one for name, one in play.places.items() if name not in sentinels]
    for place in places:
        place.extra_seconds = LATE_SECONDS
    await asyncio.sleep(TROUBLE_SECONDS)
    for place in places:
        place.extra_seconds = 0.0


async def store_forgets(play: NewsPlay, _random: Random) -> None:
    """Withhold watches, then end all of them with 410."""
    play.trouble.withheld = True
    play.trouble.stale_seconds = 3.0
    await _disturbed(play, 1.0)
    play.trouble.withheld = False
    play.trouble.stale_seconds = 0.0
    for kind in list(play.store.kinds):
        play.store.compact(kind)


async def store_cut(play: NewsPlay, _random: Random) -> None:
    """Reset all connections to the store and refuse new ones."""
    play.trouble.refuses = True
    play.reset_calls()
    await _disturbed(play, 0.6)
    play.trouble.refuses = False


async def _disturbed(play: NewsPlay, seconds: float) -> None:
    """Wait; the rule counts again some time after the last such wait."""
    play.disturbed_at = max(play.disturbed_at, play.now + seconds)
    await asyncio.sleep(seconds)


async def host_deaf(play: NewsPlay, random: Random) -> None:
    """Have one host hear nothing from others."""
    place = play.places[_plain(play, random)]
    place.is_deaf = True
    await asyncio.sleep(TROUBLE_SECONDS)
    place.is_deaf = False


async def host_mute(play: NewsPlay, random: Random) -> None:
    """Have others hear nothing of one host, the first sentinel."""
    place = play.places[play.sentinels[0]]
    place.is_mute = True
    await asyncio.sleep(TROUBLE_SECONDS)
    place.is_mute = False


async def fetches_fail(play: NewsPlay, random: Random) -> None:
    """Have all fetches of one host from others fail."""
    place = play.places[_plain(play, random)]
    place.fails_fetches = True
    await asyncio.sleep(TROUBLE_SECONDS)
    place.fails_fetches = False


async def host_starts(play: NewsPlay, random: Random) -> None:
    """Start a host while news is told."""
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
    """Have upstreams go without draining before; see `played`."""


async def host_still(play: NewsPlay, random: Random) -> None:
    """Have a host that is no sentinel stand still."""
    await play.stand_still(_plain(play, random), 1.5)


def _plain(play: NewsPlay, random: Random) -> str:
    """Draw a host that is no sentinel."""
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
    )
}


def all_cases() -> list[tuple[str, ...]]:
    """Return each trouble and each pair of them."""
    return [(name,) for name in TROUBLES] + list(combinations(TROUBLES, 2))


@dataclass(frozen=True)
class Age:
    """How long an upstream was used after the acknowledgement, at worst.

    Attributes:
        seconds: How long.
        host: Where.
        upstream: Which.
        offset: When it left after the troubles began, in seconds.
    """

    seconds: float = 0.0
    host: str = ''
    upstream: str = ''
    offset: float = 0.0


@dataclass(frozen=True)
class Outcome:
    """What a play has shown.

    Attributes:
        held: The worst at hosts in touch.
        ran: The worst at any running host.
        chain: Events about the worst, in seconds after the acknowledgement.
    """

    held: Age
    ran: Age
    chain: tuple[str, ...]


@dataclass(frozen=True)
class _Line:
    at: float
    process: str
    text: str


def play_troubles(
    names: tuple[str, ...],
    zones: int,
    hosts: int,
    seed: int,
) -> Outcome:
    """Play a calm fleet, then troubles while upstreams leave.

    Args:
        names: Troubles that begin at the same time.
        zones: Zones in each of three regions.
        hosts: Hosts in each zone.
        seed: Of all draws.
    """
    lines: list[_Line] = []

    def note(message: object) -> None:
        record = message.record  # type: ignore[attr-defined]
        process = str(record['extra'].get('process', ''))
        now = asyncio.get_running_loop().time()
        lines.append(_Line(now, process, str(record['message'])))

    logger.remove()
    sink = logger.add(note, format='{message}', level='INFO')
    try:
        return run_virtual(lambda: _played(names, (zones, hosts), seed, lines))
    finally:
        logger.remove(sink)


async def _played(
    names: tuple[str, ...],
    size: tuple[int, int],
    seed: int,
    lines: list[_Line],
) -> Outcome:
    with without_clients():
        layout = layout_of(3, *size)
        play = NewsPlay(layout, BOUNDS, 24, seed)
        await play.start_all()
        looking = asyncio.ensure_future(play.look())
        await _calm(play)
        began = play.now
        troubles = [
            asyncio.ensure_future(
                _begun(TROUBLES[name], play, Random(f'{seed} {name}')),
            )
            for name in names
        ]
        leave = play.let_go if 'removals' in names else play.let_leave
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


async def _calm(play: NewsPlay) -> None:
    """Let a fleet settle, and end the watches that remain of its start.

    At first each host takes itself for a sentinel. Its watch of upstreams
    would wait for 25 s, and hide that both sentinels have failed.
    """
    for _ in range(2):
        await asyncio.sleep(CALM_SECONDS / 3)
        entry = play.store.kind('servers').objects['i-23']
        play.store.put('servers', 'i-23', entry['spec'])
    await asyncio.sleep(CALM_SECONDS / 3)


async def _begun(trouble: Trouble, play: NewsPlay, random: Random) -> None:
    await trouble(play, random)


def _outcome(play: NewsPlay, began: float, lines: list[_Line]) -> Outcome:
    held = [_age(left, left.held, began) for left in play.leaving]
    ran = [_age(left, left.ran, began) for left in play.leaving]
    worst = max(ran, key=_seconds)
    return Outcome(
        max(held, key=_seconds),
        worst,
        _chain(lines, worst, began),
    )


def _age(left: Leaving, worst: tuple[float, str], began: float) -> Age:
    return Age(worst[0], worst[1], left.name, left.at - began)


def _seconds(age: Age) -> float:
    return age.seconds


def _chain(lines: list[_Line], age: Age, began: float) -> tuple[str, ...]:
    """Return the events up to the end of an age."""
    at = began + age.offset
    end = at + age.seconds + 0.05
    return tuple(
        f'{line.at - at:+.3f} {line.process} {line.text}'
        for line in lines
        if min(at, began) - 0.05 <= line.at <= end and _matters(line.text)
    )


def _matters(text: str) -> bool:
    return any(text.startswith(f'event={event}') for event in _EVENTS)
