"""Coordinates roll-outs on the first sentinel of the fleet."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import replace

from wardstair.decisions.rollout_exposure import max_exposure, next_reserve
from wardstair.decisions.rollout_plan import (
    RolloutProgress,
    RolloutStep,
    next_step,
)
from wardstair.decisions.rollouts import RolloutStage, RolloutState
from wardstair.fleet.rollout_endpoint import PlanOfZone
from wardstair.fleet.rollout_messages import RolloutPlan, RolloutReport
from wardstair.gateway.rollout_events import log_end, log_stage, log_taken_over
from wardstair.gateway.rollout_lead import RolloutLead
from wardstair.gateway.rollout_reports import (
    HostReports,
    ReportBook,
    waiting_hosts,
)
from wardstair.gateway.rollout_scene import RolloutScene, VersionsInService
from wardstair.gateway.rollout_writes import RecordWrites, Writer
from wardstair.process.log import log_event
from wardstair.state.rollout_orders import ServiceVersion
from wardstair.state.rollout_records import RecordOutcome, RecordWritten
from wardstair.state.rollouts import Rollout, RolloutRecord, RolloutTable

STEP_SECONDS = 0.25
# Time for which reports are collected before an early step.
COLLECT_SECONDS = 0.02


class RolloutCoordinator:
    """Coordinates the running roll-outs; active on one sentinel at a time.

    Attributes:
        books: Reports of all hosts by target; all sentinels keep them.
        send_plan: Sends the plans of all zones.
    """

    def __init__(
        self, table: RolloutTable, scene: RolloutScene, write: Writer
    ) -> None:
        """Create a coordinator.

        Args:
            table: The roll-outs known to this host.
            scene: What this host knows of the fleet and of the upstreams.
            write: Writes a record to the store.
        """
        self.books: dict[ServiceVersion, ReportBook] = {}
        self.send_plan: Callable[[PlanOfZone], None] = _ignore_plan
        self._table = table
        self._scene = scene
        self._leads: dict[ServiceVersion, RolloutLead] = {}
        self._prompted = asyncio.Event()
        self._writes = RecordWrites(write, self.prompt)

    @property
    def leads(self) -> dict[ServiceVersion, RolloutLead]:
        """The roll-outs that this host has taken over."""
        return {
            target: lead
            for target, lead in self._leads.items()
            if lead.has_term
        }

    def take_report(self, report: RolloutReport) -> None:
        """Take in a host's report.

        Args:
            report: The report.
        """
        rollout = self._table.of_service(report.service)
        if rollout is None or rollout.order.version != report.version:
            return
        book = self.books.setdefault(rollout.order.target, ReportBook())
        book.take(report, time.monotonic())
        if report.is_urgent:
            self.prompt()

    def note_plan(self, plan: RolloutPlan) -> None:
        """Stand down if another host has taken over.

        Args:
            plan: A plan of any coordinator.
        """
        lead = self.leads.get(ServiceVersion(plan.service, plan.version))
        if lead is not None and plan.term > lead.term:
            self._stand_down(lead)

    def prompt(self) -> None:
        """Take a step soon, since something has happened."""
        self._prompted.set()

    def close(self) -> None:
        """Cancel the writes in progress."""
        self._writes.close()

    async def run(self) -> None:
        """Take steps until cancelled."""
        while True:
            self.step()
            is_active = bool(self._table.running or self._to_restore())
            try:
                async with asyncio.timeout(STEP_SECONDS if is_active else None):
                    await self._prompted.wait()
            except TimeoutError:
                # Nothing has happened; the next step is due all the same.
                continue
            await asyncio.sleep(COLLECT_SECONDS)
            self._prompted.clear()

    def step(self) -> None:
        """Take the next step of each roll-out."""
        running = {one.order.target: one for one in self._table.running}
        self.books = {
            target: self.books.get(target, ReportBook()) for target in running
        }
        self._leads = {
            target: self._leads.get(target)
            or RolloutLead(rollout.order, self.books[target])
            for target, rollout in running.items()
        }
        now = time.monotonic()
        for book in self.books.values():
            # A successor needs the rate from its first step on.
            book.measure(now)
        for target, rollout in running.items():
            # The operator may have changed the time.
            self._leads[target].order = rollout.order
            self._step(self._leads[target], rollout)
        if not self._scene.may_write():
            return
        for missing in self._to_restore():
            if missing.record is not None:
                self._writes.begin(missing, missing.record, _ignore_end)

    def _to_restore(self) -> tuple[Rollout, ...]:
        """Return the records that are missing in the store."""
        table = self._table
        return (*table.records_to_restore, *table.refusals_to_record)

    def _step(self, lead: RolloutLead, rollout: Rollout) -> None:
        if not lead.has_term:
            is_led = self._scene.is_led(rollout.order.service)
            if self._scene.may_write() and not is_led:
                self._take_over(lead, rollout)
            return
        if self._is_replaced(rollout, lead):
            self._stand_down(lead)
            return
        if not self._scene.is_sentinel():
            # It gets no reports. Its term goes on if it becomes a sentinel
            # again before another host has taken over.
            return
        now = time.monotonic()
        in_touch = lead.book.in_touch(now, self._scene.contact_seconds())
        progress = self._progress(lead, in_touch, now)
        self._follow(lead, rollout, progress)
        if lead.end is not None:
            self._record_end(lead, rollout)
        if lead.is_news():
            oldest = min((host.heard_at for host in in_touch), default=now)
            log_stage(lead, progress, now - oldest)
        if lead.is_plan_due(now):
            self.send_plan(lead.plans())

    def _take_over(self, lead: RolloutLead, rollout: Rollout) -> None:
        known = rollout.own_record
        if known is None:
            known = RolloutRecord(
                rollout.order.version,
                RolloutState.running,
                began_at=time.time(),
                reason=lead.reason,
            )
        before = known.coordinator

        taken = replace(known, coordinator=self._scene.own)

        def end(outcome: RecordOutcome) -> None:
            match outcome:
                case RecordWritten(rollout=written):
                    share = self._scene.share(rollout.order.service)
                    lead.take_over(taken, written.revision, share)
                    log_taken_over(lead, before)

        self._writes.begin(rollout, taken, end)

    def _is_replaced(self, rollout: Rollout, lead: RolloutLead) -> bool:
        record = rollout.own_record
        if record is None or rollout.revision <= lead.term:
            return False
        return record.coordinator != self._scene.own

    def _stand_down(self, lead: RolloutLead) -> None:
        order = lead.order
        log_event(
            'rollout-stood-down',
            service=order.service,
            target=order.version,
            term=lead.term,
        )
        self._leads[order.target] = RolloutLead(order, lead.book)
        self._writes.delay(order.service)

    def _progress(
        self, lead: RolloutLead, in_touch: list[HostReports], now: float
    ) -> RolloutProgress:
        scene = self._scene
        service = lead.order.service
        book = lead.book
        rate = book.rate
        versions = VersionsInService.of(self._table, scene.upstreams(service))
        lead.group = frozenset()
        if lead.stage is RolloutStage.testing:
            # Later it would be all upstreams, too many for a datagram.
            lead.group = versions.group(lead.share or scene.bounds().share)
        lead.judgement = lead.trial.judge(book.new, book.old, now)
        waiting = waiting_hosts(in_touch, lead.stage, lead.stage_at)
        stage_age = now - lead.stage_at
        age = max(0.0, time.time() - lead.began_at)
        contact_seconds = scene.contact_seconds()
        has_time = lead.order.seconds - age > contact_seconds
        if stage_age < contact_seconds or has_time:
            # A host that lives may send to old upstreams though its reports
            # do not arrive.
            reporting = {host.last.sender for host in in_touch}
            waiting += len(scene.live_hosts() - reporting)
        return RolloutProgress(
            stage=lead.stage,
            share=lead.share,
            seconds=lead.order.seconds,
            age=age,
            stage_age=stage_age,
            judgement=lead.judgement,
            requests=lead.requests,
            sent=lead.sent_at_most,
            rate=rate,
            bounds=scene.bounds(),
            capacity=versions.capacity(
                rate=rate,
                work_seconds=scene.work_seconds(service),
                cold_rate=scene.cold_rate(service),
            ),
            new_upstreams=len(versions.new),
            old_upstreams=len(versions.old),
            waiting_hosts=waiting,
            has_contact=scene.has_contact(),
        )

    def _follow(
        self, lead: RolloutLead, rollout: Rollout, progress: RolloutProgress
    ) -> None:
        """Take the next step of a roll-out."""
        if lead.stage is RolloutStage.stopped:
            lead.end = RolloutState.rolled_back
            return
        step = next_step(progress)
        if step.stage is RolloutStage.stopped:
            self._stop(lead, step)
            return
        lead.end = step.end
        if step.end is RolloutState.complete:
            lead.reason = step.reason
        elif step.stage is lead.stage:
            lead.follow(step)
            self._reserve(lead, rollout)
        else:
            self._record_stage(lead, rollout, step)

    def _stop(self, lead: RolloutLead, step: RolloutStep) -> None:
        lead.end = RolloutState.rolled_back
        lead.reason = step.reason
        if lead.may_be_complete:
            # The old upstreams may stop until the record says otherwise.
            return
        # The hosts stop before it is recorded: the store may be away.
        lead.enter(RolloutStage.stopped, step.reason)
        lead.share = 0.0

    def _record_stage(
        self, lead: RolloutLead, rollout: Rollout, step: RolloutStep
    ) -> None:
        """Record the next stage; hosts follow it once it is recorded."""

        def end(outcome: RecordOutcome) -> None:
            if isinstance(outcome, RecordWritten) and lead.end is None:
                # A completion that was not answered cannot take effect later.
                lead.may_be_complete = False
                lead.enter(step.stage, step.reason)
                lead.follow(step)

        record = replace(
            self._record(lead), stage=step.stage, reason=step.reason
        )
        self._writes.begin(rollout, record, end)

    def _record_end(self, lead: RolloutLead, rollout: Rollout) -> None:
        record = replace(self._record(lead), state=RolloutState.rolled_back)
        if lead.end is RolloutState.complete:
            lead.may_be_complete = True
            record = replace(record, state=RolloutState.complete)
        else:
            record = replace(record, stage=RolloutStage.stopped)

        def end(outcome: RecordOutcome) -> None:
            if isinstance(outcome, RecordWritten):
                log_end(lead, record)

        self._writes.begin(rollout, record, end)

    def _reserve(self, lead: RolloutLead, rollout: Rollout) -> None:
        """Give allowances during the test, and reserve more of them."""
        if lead.stage is not RolloutStage.testing:
            return
        lead.give_allowances()
        room = sum(usage.room for usage in lead.usages())
        limit = max_exposure(self._scene.bounds(), lead.requests)
        reserve = next_reserve(lead.reserved, lead.given + room, limit)
        if reserve <= lead.reserved:
            return

        def end(outcome: RecordOutcome) -> None:
            if isinstance(outcome, RecordWritten):
                lead.reserved = reserve

        record = replace(self._record(lead), reserved=reserve)
        self._writes.begin(rollout, record, end)

    def _record(self, lead: RolloutLead) -> RolloutRecord:
        return RolloutRecord(
            lead.order.version,
            RolloutState.running,
            lead.stage,
            lead.reserved,
            lead.requests,
            lead.began_at,
            self._scene.own,
            lead.reason,
        )


def _ignore_plan(_plan_of: PlanOfZone) -> None:
    """Do nothing; the default sender of plans."""


def _ignore_end(_outcome: RecordOutcome) -> None:
    """Do nothing; a record that is still missing is written again."""
