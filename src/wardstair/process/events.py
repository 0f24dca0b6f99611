"""The log lines of a gateway: their names, fields and meaning, in one place.

`docs/reference/events.md` is written from this table, and a test compares
both and every call in the source with it.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class EventKind:
    """One kind of log line.

    Attributes:
        name: Its name, the value of `event`.
        meaning: When it is written.
        fields: Names of its fields.
    """

    name: str
    meaning: str
    fields: tuple[str, ...]


def _kind(name: str, meaning: str, fields: str) -> EventKind:
    return EventKind(name, meaning, tuple(fields.split()))


EVENT_KINDS = (
    _kind(
        'request-answered',
        'an upstream answered; thinned if good and in time',
        'request route version status late seconds upstream upstream_seconds '
        'expected rank warm load load_age slots slowness sends',
    ),
    _kind(
        'request-resent',
        'the request goes to another upstream',
        'request reason before upstream sends',
    ),
    _kind(
        'request-handed-on',
        'another entry host was asked to send the request, as this one reaches '
        'no upstream for it; `outcome`: an upstream `answered` there, the host '
        '`refused` it, it is `unknown` whether it has run, the hop was `lost`, '
        'or no host could be asked (`unsent`)',
        'request route host outcome status hop_seconds seconds unreachable',
    ),
    _kind(
        'helper-unreachable',
        'another entry host did not take a connection for a request',
        'host reason',
    ),
    _kind(
        'reach-doubted',
        'no upstream may be within reach: `failures` of several with no answer '
        'between, or all are `silent`; a few are asked',
        'reason silent failed',
    ),
    _kind(
        'reach-changed',
        'groups of upstreams of which this host reaches none; `*`: all',
        'lost before',
    ),
    _kind(
        'opening-doubted',
        'new connections to upstreams may fail while open ones live; a few '
        'upstreams are asked',
        'upstream',
    ),
    _kind(
        'opening-changed',
        'groups of upstreams to which new connections fail, so that requests '
        'go on open ones or to other hosts; `*`: all',
        'closed before',
    ),
    _kind(
        'resend-withheld',
        'a second send was wanted and not allowed',
        'request reason sends',
    ),
    _kind(
        'request-refused',
        'this host ended the request by itself; `sends=0`, or only upstreams '
        'that turned it away, means that it has not run',
        'request reason route organisation version service sends unreachable '
        'upstreams known seconds left',
    ),
    _kind(
        'request-unrouted',
        'no route covers the request, or no configuration is known yet',
        'request reason version host path',
    ),
    _kind(
        'request-unauthorised',
        'refused: the request has no API key that is in force on its route, '
        'or this host cannot check it; `version` and `age` are of the '
        'configuration that the key was compared with',
        'request reason fault route version age',
    ),
    _kind(
        'request-over-quota',
        'refused: the quota of the organisation is used up; `own` and '
        '`others` are requests in the window, `reserved` is the part of the '
        'quota that silent hosts may be using',
        'request organisation route own others reserved allowed wait',
    ),
    _kind(
        'demand-unreadable',
        'a report of demand cannot be decoded',
        'source size',
    ),
    _kind(
        'request-unheld',
        'refused: bodies that are held fill the memory of this host',
        'request held',
    ),
    _kind(
        'caller-left',
        'the caller closed its connection before the answer',
        'request route upstreams seconds',
    ),
    _kind(
        'request-failed',
        'a fault of this program; the caller got a 500',
        'request error',
    ),
    _kind(
        'configuration-adopted',
        'a newer version is in force on this host',
        'version before source routes',
    ),
    _kind(
        'configuration-incomplete',
        'a version leaves out fields; docs/reference/settings.md has the rest',
        'version missing',
    ),
    _kind(
        'configuration-rejected',
        'a stored version cannot be used; the one before stays',
        'source revision reason',
    ),
    _kind(
        'evacuations-changed',
        'the set of zones that get nothing has changed; `kept`: those that a '
        'restored store lacks and that may be written again',
        'zones kept ended revision source',
    ),
    _kind(
        'upstream-changed',
        'an upstream is new or has changed its phase',
        'upstream service zone phase cold',
    ),
    _kind(
        'upstream-missing',
        'an entry vanished while the store was away; it may come back',
        'upstream wait',
    ),
    _kind(
        'upstream-gone',
        'an upstream gets nothing any more',
        'upstream service in_flight',
    ),
    _kind(
        'upstream-avoided',
        'a connection or an exchange failed; it is avoided for a while',
        'request upstream reason seconds',
    ),
    _kind(
        'upstream-assumed-cold',
        'an upstream is taken for cold though its entry does not say so: it '
        '`refused` a connection and no other is open, or some host found that '
        'it `ended`',
        'upstream service reason',
    ),
    _kind(
        'exchange-broken',
        'an exchange ended without an answer; `content` is the same for each '
        'try of one request, `rested` how long its connection had',
        'request content upstream reason seconds rested',
    ),
    _kind(
        'upstream-ended',
        'an upstream ended while it had requests of this host; `contents` '
        'names these as `content` does elsewhere',
        'upstream born contents',
    ),
    _kind(
        'end-not-proved',
        'an upstream refuses connections, and so do all of its zone or service '
        'that were asked: this host may be cut off from them',
        'upstream asked reached',
    ),
    _kind(
        'witness-failed',
        'a fault of this program; whether an upstream ended is not known',
        'error',
    ),
    _kind(
        'upstream-restarted',
        'an upstream started again under its name; what was learned of its '
        'life before is dropped',
        'upstream service born before in_flight',
    ),
    _kind(
        'request-held',
        'upstreams ended under a request: it is refused from now on; '
        '`lives` names them, `answered` counts those that answered it',
        'content lives answered',
    ),
    _kind(
        'request-released',
        'a request is not held any more: its time is over, it was lifted, or '
        'another explains the ends',
        'content',
    ),
    _kind(
        'request-lifted',
        'an operator set aside what is known of a request; it is served again',
        'content by',
    ),
    _kind(
        'suspects-adopted',
        'another host told of requests that end upstreams, and some of it was '
        'new; `count`: requests that it told of',
        'count source',
    ),
    _kind(
        'suspects-stored',
        'requests that end upstreams were written to the store',
        'count',
    ),
    _kind(
        'suspects-unreadable',
        'the object of requests that end upstreams cannot be decoded',
        'revision',
    ),
    _kind(
        'connection-forgotten',
        'a resting connection broke when it was used; not held against it',
        'request upstream',
    ),
    _kind(
        'upstream-ejected',
        'an upstream is far slower than usual or fails often; it is left out',
        'upstream service reason slowness errors seconds',
    ),
    _kind(
        'fleet-known',
        'this host has heard others and had time to know all, or is the only '
        'one; `live` and `known` count hosts of its own zone',
        'live known fleet zones after',
    ),
    _kind(
        'cold-upstream-used',
        'this host sends to a cold upstream, or at another rate than before; '
        '`live` and `known` count hosts of its own zone',
        'upstream service zone left rate live known fleet zones',
    ),
    _kind(
        'upstream-limit',
        'an upstream names how many requests a second it takes from all hosts, '
        'another figure than before, or none any more; `source`: an answer of '
        'it, or the host that told',
        'upstream rate before source',
    ),
    _kind(
        'upstream-leaving',
        'an answer of an upstream says for the first time that it will end '
        'soon; `in_flight`: requests of this host at it',
        'upstream service in_flight',
    ),
    _kind(
        'upstream-paused',
        'an upstream asked for no requests from this host for `seconds`; '
        '`in_flight`: requests of this host at it',
        'upstream service seconds in_flight',
    ),
    _kind(
        'sent-after-notice',
        'a request goes to an upstream that leaves or has asked for a pause; '
        '`way`: `first`, or why it is sent again',
        'request upstream notice way',
    ),
    _kind(
        'limited-upstream-used',
        'this host sends to an upstream that names a limit, or another part of '
        'it than before: `rate` of `limit` requests a second; `hosts` of its '
        'own zone and `zones` share it, `silent` is the load of those not '
        'heard, `drawn` the factor on the weight of the upstream',
        'upstream service zone limit rate drawn hosts zones silent',
    ),
    _kind(
        'split-changed',
        'a split route has other services or weights; `sent`: what this host '
        'had sent to each by the ones before',
        'route parts before sent',
    ),
    _kind(
        'region-move-paced',
        'a route has other services: its requests change regions in steps',
        'route offset',
    ),
    _kind(
        'upstream-relieved',
        'an upstream is more, or no longer, crowded than others: keys move',
        'upstream service crowding weight before',
    ),
    _kind(
        'object-unreadable',
        'an object in the store has no name; the others of its kind hold',
        'kind reason',
    ),
    _kind(
        'upstream-unusable',
        'an entry in the store is not whole and names no upstream; `field` '
        'says where',
        'upstream field expected',
    ),
    _kind(
        'upstreams-adopted',
        'changes of upstreams came from another host; `since=0`: all of them; '
        "`age`: how old this host's state was until then",
        'since revision count removed source age',
    ),
    _kind(
        'store-answered-later',
        'a call on the store has failed, but a later one was answered',
        'kind',
    ),
    _kind(
        'state-old',
        'nothing has told for too long that all is known: the store is asked',
        'age',
    ),
    _kind(
        'upstreams-read',
        "changes of upstreams came by this host's own watch of the store",
        'revision count removed',
    ),
    _kind(
        'roles-changed',
        'this host speaks for its zone (`relay`), or watches the store closely '
        'for all (`sentinel`), or no longer does',
        'relay sentinel',
    ),
    _kind('host-joined', 'another entry host is heard', 'host zone'),
    _kind('host-leaving', 'another entry host is stopping', 'host zone'),
    _kind(
        'host-lost',
        'another entry host of this zone has fallen silent',
        'host zone silent',
    ),
    _kind(
        'relay-unheard',
        'a relay of another zone sends to others now, or has fallen silent',
        'host zone silent',
    ),
    _kind(
        'host-removed',
        "a dead host's object was taken out of the store",
        'host outcome',
    ),
    _kind(
        'host-not-removed',
        "a dead host's object could not be taken out; it is tried again",
        'host reason',
    ),
    _kind(
        'host-unregistered',
        "this host's object is gone from the store; it registers again",
        'host',
    ),
    _kind(
        'host-unreadable',
        "a host's object in the store cannot be decoded",
        'host',
    ),
    _kind('hosts-found', 'hosts were read from the store', 'count'),
    _kind(
        'host-started',
        'this process listens',
        'host zone callers store',
    ),
    _kind('host-stopping', 'this process was told to stop', 'open'),
    _kind('host-stopped', 'this process ends', 'cut'),
    _kind(
        'host-close-unfinished',
        'a connection was still open when this process ended',
        'seconds',
    ),
    _kind('host-paused', 'this process did not run for a while', 'seconds'),
    _kind(
        'settings-reread',
        'the settings file was read again',
        'changed',
    ),
    _kind(
        'settings-missing',
        'the settings file leaves out settings; these figures stand in',
        'used',
    ),
    _kind(
        'settings-rejected',
        'the changed settings file is not valid; the old settings stay',
        'reason',
    ),
    _kind('store-lost', 'the store does not answer as it should', 'reason'),
    _kind('store-regained', 'the store answers again', 'away'),
    _kind(
        'upstreams-unconfirmed',
        'this host started alone and the store may have been restored just '
        'before; upstreams are taken for cold until they can have registered '
        'again',
        'era settled upstreams seconds',
    ),
    _kind(
        'store-restored',
        'the store was restored from a copy and issues revisions again',
        'era before',
    ),
    _kind(
        'news-ignored',
        'news of the store are not newer than what this host knows',
        'kind revision known source',
    ),
    _kind(
        'upstream-doubted',
        'a restored store lists an upstream that had left; it is not used',
        'upstream revision',
    ),
    _kind(
        'upstream-entry-ignored',
        'an entry of an upstream is older than the one that this host knows',
        'upstream revision known',
    ),
    _kind(
        'watch-forgotten',
        'the store forgot its history; everything is listed anew',
        'kind revision',
    ),
    _kind(
        'watch-renewed',
        'a waiting watch was given up for a new one: `behind` another answer, '
        '`late`, contact was `regained`, or a `role` has begun',
        'kind reason revision waited',
    ),
    _kind(
        'state-not-fetched',
        'another host could not be asked for its state: `unanswered`, '
        '`rejected` or `unreadable`',
        'host reason detail',
    ),
    _kind(
        'beat-unreadable',
        'a datagram was no heartbeat',
        'source size',
    ),
    _kind(
        'task-failed', 'a task failed and begins again', 'task error file line'
    ),
    _kind(
        'log-lines-dropped',
        'the reader of the log was too slow; so many lines are missing',
        'count',
    ),
)
