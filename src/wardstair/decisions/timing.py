"""How often a host looks at the store and at its relays, from the bounds.

News reaches every host by a chain: a watch of the store is answered, changes
close together are taken as one, a heartbeat tells of them, and the others
fetch them. Each link gets a part of the tightest bound on news, so that a
deployment with tighter bounds looks more often and one with wider ones pays
for fewer calls.
"""

from dataclasses import dataclass

# What the rest of the chain takes: the check whether a watch has missed a
# change 0.15 s, grace for the others' own watches 0.3 s, and 0.4 s for a
# heartbeat and a fetch on a new connection, which are 2.5 round trips of up to
# 0.12 s between regions, with 0.1 s for work. Worked out, not measured.
CHAIN_SECONDS = 1.0
# Parts of what is left of the bound. A watch may be cut without a word, so a
# change can be as late as the next watch's answer; it then waits for others.
# The thirtieth that remains is for timers that go off late.
WATCH_SHARE = 2 / 3
PAUSE_SHARE = 0.3
# Shorter watches are a load on the store rather than a gain.
LEAST_WATCH_SECONDS = 0.25
LEAST_PAUSE_SECONDS = 0.1
# A relay that fails leaves its zone to the second one; if both fail, the zone
# hears nothing until it is replaced.
REPLACED_SHARE = 0.64
# Callers gain by early news also where no bound asks for it: an upstream that
# is gone costs a failed connection for each request that is sent to it.
MOST_WATCH_SECONDS = 2.0
MOST_PAUSE_SECONDS = 1.0
# One heartbeat of a second, with its jitter, may be lost. A needless
# replacement costs calls on the store; leaving a live host out of look-ups
# would cost more, so these wait longer.
LEAST_REPLACED_SECONDS = 1.6
MOST_REPLACED_SECONDS = 3.0
# Time after its start that a host takes to hear the others: until then it sends
# nothing to cold upstreams, is no relay beside hosts that have a configuration,
# and does not register in the store. Seeds may load for longer than others:
# without the wait 63 of 65 hosts that started together took themselves for
# alone and registered, and 69 objects were written anew.
SETTLE_SECONDS = 2.5
# Contact is proved twice within the time after which a host is held to the
# bounds again, and by a host that is no relay once in twice that time: for it
# only whether it could become one depends on it.
PROOF_SHARE = 0.5
RARE_PROOF_SHARE = 2.0
# Longer would hide an outage from the metrics.
MOST_PROOF_SECONDS = 5.0


@dataclass(frozen=True, slots=True)
class Timing:
    """Periods of one host, in seconds.

    Attributes:
        watch: Longest wait of the watch that a sentinel uses as its clock.
        pause: Wait for further changes of upstreams after one.
        replaced: Silence after which a relay or a sentinel is replaced.
        proof: Period of a relay's proofs of contact with the store.
        rare_proof: The same of another host.
    """

    watch: float
    pause: float
    replaced: float
    proof: float
    rare_proof: float


def timing_for(news_seconds: float, contact_seconds: float) -> Timing:
    """Return the periods that keep the bounds.

    Args:
        news_seconds: The tightest bound on news, in seconds: that a
            configuration is in force, that a leaving upstream or a zone that
            is emptied gets nothing more.
        contact_seconds: Undisturbed contact after which bounds hold.
    """
    replaced = max(LEAST_REPLACED_SECONDS, news_seconds * REPLACED_SHARE)
    rest = news_seconds - CHAIN_SECONDS
    watch = max(LEAST_WATCH_SECONDS, rest * WATCH_SHARE)
    pause = max(LEAST_PAUSE_SECONDS, rest * PAUSE_SHARE)
    proof = min(contact_seconds * PROOF_SHARE, MOST_PROOF_SECONDS)
    return Timing(
        watch=min(watch, MOST_WATCH_SECONDS),
        pause=min(pause, MOST_PAUSE_SECONDS),
        replaced=min(replaced, MOST_REPLACED_SECONDS),
        proof=proof,
        rare_proof=proof / PROOF_SHARE * RARE_PROOF_SHARE,
    )
