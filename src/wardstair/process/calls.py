"""Executes the calls of an entry host and records how each one ended."""

from wardstair.decisions.ledger import Identity
from wardstair.errors import Refusal
from wardstair.process.configuration import Configuration
from wardstair.process.fleet import Fleet
from wardstair.process.journal import Journal, JournalEntry
from wardstair.process.log import log_event
from wardstair.process.metrics import Metrics
from wardstair.request import problem
from wardstair.request.at_most_once import (
    KeyRegistry,
    OwnedElsewhere,
    OwnedHere,
    OwnerUnknown,
)
from wardstair.request.call import (
    AnswerSink,
    Call,
    CallEnd,
    CallerLeft,
    CutShort,
    Delivered,
    Refused,
)
from wardstair.request.forwarding import Forwarder


class CallExecutor:
    """Executes calls; there is one per host."""

    def __init__(
        self,
        configuration: Configuration,
        fleet: Fleet,
        forwarder: Forwarder,
        key_registry: KeyRegistry,
        journal: Journal,
        metrics: Metrics,
    ) -> None:
        """Start without calls.

        Args:
            configuration: The version in force.
            fleet: The other hosts.
            forwarder: Sends calls to upstreams and other hosts.
            key_registry: Finds the owners of keys.
            journal: Records what was done and why.
            metrics: Counters.
        """
        self._configuration = configuration
        self._fleet = fleet
        self._forwarder = forwarder
        self._key_registry = key_registry
        self._journal = journal
        self._metrics = metrics

    async def execute(self, call: Call, sink: AnswerSink) -> CallEnd:
        """Execute a call until it ends."""
        entry = self._journal.open(call.request_id, self._configuration.version)
        entry.facts.update(
            workload=call.route.workload.name,
            method=call.method,
            origin=call.origin,
            key=call.key,
        )
        if call.key is None:
            return await self._forwarder.forward(call, sink, entry)
        self._journal.alias(call.key, entry)
        return await self._execute_once(call, sink, entry)

    def note_end(self, call: Call, end: CallEnd, seconds: float) -> None:
        """Count and record the end of a call."""
        workload = call.route.workload.name
        labels = {'workload': workload}
        entry = self._journal.find(call.request_id)
        match end:
            case Delivered(head=head):
                self._metrics.requests.add(workload)
                self._metrics.latency.record(seconds, labels)
                step = f'answered {head.status}'
            case Refused(refusal=refusal):
                self.note_refusal(workload, refusal)
                step = f'refused {refusal.kind} not_run={refusal.not_run}'
                log_event(
                    'refused',
                    request=call.request_id,
                    workload=workload,
                    kind=refusal.kind,
                    not_run=refusal.not_run,
                )
            case CutShort():
                step = 'answer cut short'
            case CallerLeft():
                step = 'caller left'
        if entry is not None:
            entry.add_step(f'{step} after {seconds:.3f} s')

    def note_refusal(self, workload: str, refusal: Refusal) -> None:
        """Count a refusal."""
        self._metrics.refusals.add(str(refusal.kind), workload)

    async def _execute_once(
        self,
        call: Call,
        sink: AnswerSink,
        entry: JournalEntry,
    ) -> CallEnd:
        owner = await self._key_registry.find_owner(call.key or '')
        match owner:
            case OwnedHere(issued_at=issued_at):
                return await self._key_registry.run(
                    call,
                    issued_at,
                    lambda: self._forwarder.forward(call, sink, entry),
                    sink,
                )
            case OwnedElsewhere(owner=identity):
                entry.add_step(f'key is owned by {identity.name}')
                return await self._relay_to_owner(call, identity, sink)
            case OwnerUnknown(reason=reason):
                return Refused(problem.outcome_unknown(reason))

    async def _relay_to_owner(
        self,
        call: Call,
        owner: Identity,
        sink: AnswerSink,
    ) -> CallEnd:
        topology = self._configuration.topology
        host = None if topology is None else topology.hosts.get(owner.name)
        known = self._fleet.incarnation_of(owner.name)
        is_gone = known is not None and known != owner.incarnation
        if host is None or is_gone or call.is_internal:
            reason = 'the host that remembers its key has been replaced'
            return Refused(problem.outcome_unknown(reason))
        return await self._forwarder.forward_to_owner(call, host, sink)
