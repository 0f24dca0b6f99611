"""Schema of the log lines of a gateway: names, meanings and fields.

`docs/reference/events.md` contains this table. A test compares the page and
every logging call in the source with it.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class EventKind:
    """One kind of log line.

    Attributes:
        name: Value of its field `event`.
        meaning: When the line is written.
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
        'an upstream answered; thinned if the answer was good and in time; '
        'what this host knew as it sent: the revision of the `entry` of the '
        'upstream, the revision of all upstreams (`state`) and its age',
        'request route version status late seconds upstream upstream_version '
        'upstream_seconds expected rank warm load load_age slots slowness '
        'sends entry state state_age',
    ),
    _kind(
        'request-resent',
        'the request is sent to another upstream',
        'request reason before upstream sends',
    ),
    _kind(
        'request-handed-on',
        'another entry host was asked to send the request, because this one '
        'reaches no upstream for it; `outcome`: an upstream `answered` there, '
        'the host `refused` it, it is `unknown` whether it has run, the hop '
        'was `lost`, or no host could be asked (`unsent`)',
        'request route host outcome status hop_seconds seconds unreachable',
    ),
    _kind(
        'peer-notice-ignored',
        'another entry host sent a request of this one to an upstream that '
        'leaves or asked for a pause; this host does not know that incarnation '
        'of it',
        'upstream host',
    ),
    _kind(
        'helper-unreachable',
        'another entry host did not accept a connection for a request',
        'host reason',
    ),
    _kind(
        'reach-doubted',
        'upstreams may be unreachable: `failures` of several without an '
        'answer in between, or all are `silent`; a few are probed',
        'reason silent failed',
    ),
    _kind(
        'reach-changed',
        'the groups of upstreams of which this host reaches none have '
        'changed; `*`: all',
        'lost before',
    ),
    _kind(
        'opening-doubted',
        'new connections to upstreams may fail while open ones still work; a '
        'few upstreams are probed',
        'upstream',
    ),
    _kind(
        'opening-changed',
        'the groups of upstreams to which new connections fail have changed; '
        'requests to them use open connections or other hosts; `*`: all',
        'closed before',
    ),
    _kind(
        'resend-withheld',
        'a second send was needed but not allowed',
        'request reason sends',
    ),
    _kind(
        'resends-spent',
        'this host may not resend to a service for now; its first sends and '
        'resends in the window, the resends that it may make, the hosts that '
        'the limit is divided among, and how long it has been running',
        'service firsts resends allowed hosts running',
    ),
    _kind(
        'request-refused',
        'this host ended the request itself; with `sends=0`, or if it was '
        'sent only to upstreams that rejected it, it has not run',
        'request reason route organisation version service sends unreachable '
        'upstreams known seconds left',
    ),
    _kind(
        'request-unrouted',
        'no route matches the request, or no configuration is known yet',
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
        'quota that hosts which are not heard may be using; with `memory` '
        'other than `whole` this host has started lately and admits little, '
        'as its former process may have used the quota',
        'request organisation route own others reserved allowed wait memory',
    ),
    _kind(
        'quota-memory',
        'what this host knows of the requests that were admitted in the window '
        'of quotas: nothing from before its start (`none`), nothing, but other '
        'hosts know and are asked (`heard_of`), or all (`whole`); `told` is '
        'whether another host told it, `former` is what this host had admitted',
        'memory age told former',
    ),
    _kind(
        'demand-unreadable',
        'a demand report cannot be decoded',
        'source size',
    ),
    _kind(
        'request-unheld',
        'refused before it began: the memory of this host is '
        'full (`no-memory`), the time of the request over (`incomplete`), or '
        'this host is about to exit (`stopping`)',
        'request held reason',
    ),
    _kind(
        'caller-left',
        'the caller closed its connection before the answer',
        'request route upstreams seconds',
    ),
    _kind(
        'request-failed',
        'an internal error of this program; the caller got a 500',
        'request error',
    ),
    _kind(
        'caller-connection-failed',
        'an internal error of this program; the connection of the caller was '
        'closed',
        'error',
    ),
    _kind(
        'configuration-adopted',
        'a newer version is in force on this host',
        'version before source routes',
    ),
    _kind(
        'configuration-incomplete',
        'a version omits fields; see docs/reference/settings.md',
        'version missing',
    ),
    _kind(
        'configuration-rejected',
        'a stored version is invalid; the previous one stays in force',
        'source revision reason',
    ),
    _kind(
        'rollouts-changed',
        'orders of roll-outs, their records or what is known of them have '
        'changed; `rollouts`: service, target version and state of each; '
        '`kept`: services whose order a restored store lacks and may be '
        'written again; `withdrawn`: targets whose order is gone',
        'rollouts kept withdrawn revision source',
    ),
    _kind(
        'rollouts-checked',
        'all orders up to a later revision are known, so that versions of '
        'upstreams without an order may be used',
        'revision before',
    ),
    _kind(
        'rollout-recorded',
        'the store holds a record of a roll-out',
        'service target state stage reserved revision reason',
    ),
    _kind(
        'rollout-not-recorded',
        'a record of a roll-out was refused by the store or by this host, or '
        'the store has not answered',
        'service target state stage reserved revision outcome reason',
    ),
    _kind(
        'rollout-refused',
        'an order of a roll-out cannot be carried out: `field` is not as '
        '`expected`',
        'service target field expected revision',
    ),
    _kind(
        'rollout-status-unreadable',
        'the record on an order of a roll-out is not valid; an end counts, '
        'anything else does not',
        'service field expected revision',
    ),
    _kind(
        'evacuations-changed',
        'the set of evacuated zones has changed; `kept`: those that a '
        'restored store lacks and that may be written again',
        'zones kept ended revision source',
    ),
    _kind(
        'upstream-changed',
        'an upstream is new or has changed its phase; `revision`: of its '
        "entry, `known`: of this host's list of upstreams",
        'upstream service zone phase cold revision known',
    ),
    _kind(
        'upstream-missing',
        'an entry disappeared while the store was unreachable; it may come '
        'back',
        'upstream wait',
    ),
    _kind(
        'upstream-gone',
        'an upstream gets no more requests; `revision`: of its last entry, '
        "`known`: of this host's list of upstreams",
        'upstream service in_flight revision known',
    ),
    _kind(
        'upstream-avoided',
        'a connection or an exchange failed; the upstream is avoided for a '
        'while',
        'request upstream reason seconds',
    ),
    _kind(
        'upstream-assumed-cold',
        'an upstream is treated as cold although its entry does not say so: '
        'it `refused` a connection and no other is open, or a host found that '
        'it `ended`',
        'upstream service reason',
    ),
    _kind(
        'body-dropped',
        'the answer to a request is so long that its memory was taken from the '
        'body of the request, which is not sent again',
        'request content bytes',
    ),
    _kind(
        'exchange-broken',
        'an exchange ended without an answer; `content` is the same for all '
        'attempts of one request, `rested` is how long its connection had '
        'been idle; `reason=closed` or `reset`: by the upstream, `silent`: by '
        'this host, as the upstream acknowledged nothing in time, `endless`: '
        'more bytes than an answer may have, `no-memory`: more than this host '
        'had memory for',
        'request content upstream reason seconds rested',
    ),
    _kind(
        'upstream-ended',
        'an upstream ended while it had requests of this host; `contents` '
        'lists their `content` values',
        'upstream born contents',
    ),
    _kind(
        'end-not-proved',
        'an upstream refuses connections, and so do all others of its zone or '
        'service that were probed: this host may be cut off from them',
        'upstream asked reached',
    ),
    _kind(
        'witness-failed',
        'an internal error of this program; whether an upstream ended is not '
        'known',
        'error',
    ),
    _kind(
        'upstream-restarted',
        'an upstream started again under its name; what was learned about its '
        'previous incarnation is dropped',
        'upstream service born before in_flight',
    ),
    _kind(
        'request-held',
        'upstreams ended while they processed a request: it is refused from '
        'now on; `lives` names them, `answered` counts those that answered it',
        'content lives answered',
    ),
    _kind(
        'request-released',
        'a request is no longer held: its time is over, an operator lifted '
        'it, or another request explains the ends',
        'content',
    ),
    _kind(
        'request-lifted',
        'an operator discarded the evidence against a request; it is served '
        'again',
        'content by',
    ),
    _kind(
        'suspects-adopted',
        'another host reported requests that end upstreams, and some of the '
        'report was new; `count`: requests in the report',
        'count source',
    ),
    _kind(
        'suspects-stored',
        'requests that end upstreams were written to the store',
        'count',
    ),
    _kind(
        'suspects-skipped',
        'records of requests that end upstreams are odd; the others are '
        'used, and the next change of the object drops them',
        'count first',
    ),
    _kind(
        'suspects-unreadable',
        'the object of requests that end upstreams cannot be decoded',
        'revision',
    ),
    _kind(
        'connection-forgotten',
        'an idle connection broke when it was used; this does not count as a '
        'failure of the upstream',
        'request upstream',
    ),
    _kind(
        'upstream-ejected',
        'an upstream is far slower than usual or fails often; it is ejected '
        'for `seconds`',
        'upstream service reason slowness errors seconds',
    ),
    _kind(
        'fleet-known',
        'this host has heard others and had time to hear all of them, or is '
        'the only one; `live` and `known` count hosts of its own zone',
        'live known fleet zones after',
    ),
    _kind(
        'cold-upstream-used',
        'this host sends to a cold upstream, or its rate has changed; `live` '
        'and `known` count hosts of its own zone',
        'upstream service zone left rate live known fleet zones',
    ),
    _kind(
        'upstream-limit',
        'an upstream reports a rate limit in requests a second for all hosts, '
        'or a different one, or none any more; `source`: its answer, or the '
        'host that reported it',
        'upstream rate before source',
    ),
    _kind(
        'upstream-leaving',
        'an answer of an upstream announces for the first time that it will '
        'end soon; `in_flight`: requests of this host at it',
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
        'a request goes to an upstream that is leaving or has asked for a '
        'pause; `way`: `first`, or why it is sent again',
        'request upstream notice way',
    ),
    _kind(
        'limited-upstream-used',
        'this host sends to an upstream with a rate limit, or its share has '
        'changed: `rate` of `limit` requests a second; `hosts` of its own '
        'zone and `zones` share it, `silent` is the load of hosts that are '
        'not heard, `drawn` the factor on the weight of the upstream',
        'upstream service zone limit rate drawn hosts zones silent',
    ),
    _kind(
        'split-changed',
        'the services or weights of a split route have changed; `sent`: what '
        'this host had sent to each under the previous ones',
        'route parts before sent',
    ),
    _kind(
        'region-move-paced',
        'the services of a route have changed: its requests change regions in '
        'steps',
        'route offset',
    ),
    _kind(
        'upstream-relieved',
        'an upstream is overloaded compared with others, or no longer: keys '
        'move',
        'upstream service crowding weight before',
    ),
    _kind(
        'object-unreadable',
        'an object in the store, or an event of a watch, has odd metadata; '
        'it counts as one without content, and the others of its kind still '
        'apply',
        'kind name field expected',
    ),
    _kind(
        'upstream-unusable',
        'an entry in the store is incomplete or invalid and defines no '
        'upstream; `field` is the path of the faulty field',
        'upstream field expected',
    ),
    _kind(
        'upstreams-adopted',
        'changes of upstreams were received from another host; `since=0`: all '
        "of them; `age`: how old this host's state was until then; `used`: "
        'upstreams that this host may send to now',
        'since revision count removed used source age',
    ),
    _kind(
        'store-answered-later',
        'a call on the store failed, but a later one was answered',
        'kind',
    ),
    _kind(
        'state-old',
        'nothing has confirmed for too long that the state is current: the '
        'store is queried',
        'age',
    ),
    _kind(
        'upstreams-read',
        "changes of upstreams were received by this host's own watch of the "
        'store',
        'revision count removed used',
    ),
    _kind(
        'upstreams-differ',
        'another host lists other upstreams at the same revision; they are '
        'read from the store again',
        'host revision',
    ),
    _kind(
        'upstreams-corrected',
        'the store reports upstreams differently from another host that had '
        'sent the same revision; the store decides',
        'revision count removed',
    ),
    _kind(
        'upstreams-listed',
        'this host has read all upstreams from the store',
        'revision count used',
    ),
    _kind(
        'roles-changed',
        'this host speaks for its zone (`relay`), or watches the store closely '
        'for all (`sentinel`), or no longer does',
        'relay sentinel',
    ),
    _kind(
        'host-joined',
        'another entry host is heard, for the first time or again',
        'host zone',
    ),
    _kind('host-leaving', 'another entry host is stopping', 'host zone'),
    _kind(
        'host-lost',
        'another entry host of this zone is no longer heard',
        'host zone silent',
    ),
    _kind(
        'relay-unheard',
        'a relay of another zone now sends to other hosts, or is no longer '
        'heard',
        'host zone silent',
    ),
    _kind(
        'host-removed',
        "a dead host's object was removed from the store",
        'host outcome',
    ),
    _kind(
        'host-not-removed',
        "a dead host's object could not be removed; the removal is retried",
        'host reason',
    ),
    _kind(
        'host-unregistered',
        "this host's object is missing in the store; it registers again",
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
        'this process accepts connections',
        'host zone callers store',
    ),
    _kind(
        'listener-blocked',
        'a port cannot be opened and is tried again; the host accepts nothing '
        'before it, unless it is that for metrics; `remedy` says what to do',
        'listener address protocol error waited remedy',
    ),
    _kind(
        'listener-opened',
        'a port that was blocked is open',
        'listener address protocol waited',
    ),
    _kind(
        'connections-refused',
        'a listener has as many connections as it may keep; further ones are '
        'closed at once',
        'listener allowed',
    ),
    _kind(
        'accept-failed',
        'a connection could not be accepted; accepting pauses',
        'listener error',
    ),
    _kind(
        'settings-unusable',
        'the settings file cannot be used as the process starts; it is read '
        'again for `left` seconds, then the process ends with status 2',
        'reason remedy left',
    ),
    _kind(
        'process-failed',
        'an internal error ends this process',
        'error file line',
    ),
    _kind(
        'internal-error',
        'an error that nothing handled; `origin`: the part of the program or '
        'the library that reported it',
        'origin error file line',
    ),
    _kind(
        'host-start-ended',
        'this process was asked to stop before it accepted connections; '
        '`blocked`: listeners that it was waiting for',
        'blocked',
    ),
    _kind(
        'host-stopping',
        'this process was asked to stop; `lateness`: how late its timers '
        'fire on average',
        'open lateness',
    ),
    _kind(
        'callers-closed',
        'a stopping process accepts no more callers and has closed `idle` '
        'connections; `accepted`: connections that waited for it; `unread`: '
        'those that stay open as they hold bytes that may be a request; '
        '`late`: how late that was',
        'accepted unread idle late',
    ),
    _kind(
        'host-stopped',
        'this process exits while `cut` requests of callers and '
        '`cut_forwarded` ones of other entry hosts are in progress; `unread`: '
        'connections with bytes that may be a request',
        'cut cut_forwarded unread',
    ),
    _kind(
        'host-close-unfinished',
        'a connection was still open when this process exited',
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
        'the settings file omits settings; these defaults are used',
        'used',
    ),
    _kind(
        'settings-rejected',
        'the changed settings file is invalid; the old settings stay in force '
        'and it is read again',
        'reason',
    ),
    _kind(
        'store-lost',
        'the store does not answer as expected',
        'reason',
    ),
    _kind('store-regained', 'the store answers again', 'away'),
    _kind(
        'upstreams-unconfirmed',
        'this host started alone and the store may have been restored just '
        'before; upstreams are treated as cold until they have had time to '
        'register again',
        'era settled upstreams seconds',
    ),
    _kind(
        'store-restored',
        'the store was restored from a copy and issues revisions again',
        'era before',
    ),
    _kind(
        'news-ignored',
        'an update of the store is not newer than what this host knows',
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
        'the store no longer has the history for a watch; everything is '
        'listed again',
        'kind revision',
    ),
    _kind(
        'watch-renewed',
        'a pending watch was replaced by a new one: `behind` another answer, '
        '`late`, contact was `regained`, or a `role` has begun',
        'kind reason revision waited',
    ),
    _kind(
        'state-not-fetched',
        'the state could not be fetched from another host: `unanswered`, '
        '`rejected` or `unreadable`',
        'host reason detail',
    ),
    _kind(
        'beat-unreadable',
        'a datagram is not a valid heartbeat',
        'source size',
    ),
    _kind(
        'rollout-taken-over',
        'this host coordinates a roll-out from now on; `term`: revision of its '
        'record, `reserved`: requests that may have been allowed so far, '
        '`before`: the coordinator until then',
        'service target term stage reserved before',
    ),
    _kind(
        'rollout-stood-down',
        'another host coordinates a roll-out in place of this one',
        'service target term',
    ),
    _kind(
        'rollout-stage',
        'the stage of a roll-out, its share or the reason for them has '
        'changed; the other fields are what this rests on, for the whole '
        'fleet: `sent` to the new version at most, `bad` of its `answers`, '
        '`evidence` above 0 speaks for a bad version, `waiting` hosts, '
        '`capacity` of the new version as a share of the requests, '
        '`reports_age` of the oldest report of a host in touch',
        'service target stage share reason requests sent reserved answers bad '
        'old_bad_share evidence waiting capacity rate age reports_age',
    ),
    _kind(
        'rollout-ended',
        'this host has recorded the end of a roll-out',
        'service target state reason requests sent reserved answers bad '
        'seconds',
    ),
    _kind(
        'rollout-plan-lapsed',
        'this host hears no plan for a roll-out any more and sends nothing to '
        'the new version',
        'service target stage term plan',
    ),
    _kind(
        'rollout-unreadable',
        'a datagram is not a valid message about a roll-out',
        'source size',
    ),
    _kind(
        'host-address-unusable',
        'nothing is sent to a host whose address is no IPv4 address; correct '
        'its settings, or the object that names it',
        'address',
    ),
    _kind(
        'warnings-limited',
        'further warnings of the event `limited` are left out until a period '
        'of `seconds` has ended; counters tell their number',
        'limited seconds',
    ),
    _kind(
        'task-failed', 'a task failed and is restarted', 'task error file line'
    ),
    _kind(
        'log-lines-dropped',
        'the reader of the log was too slow; `count` lines are missing',
        'count',
    ),
)
