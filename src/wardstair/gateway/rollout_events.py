"""Log lines of the coordinator of a roll-out."""

import time

from wardstair.decisions.rollout_plan import RolloutProgress
from wardstair.gateway.rollout_lead import RolloutLead
from wardstair.process.log import log_event
from wardstair.state.rollouts import RolloutRecord


def log_stage(
    lead: RolloutLead, progress: RolloutProgress, reports_age: float
) -> None:
    """Log the stage of a roll-out with all that the step rests on.

    Args:
        lead: The roll-out.
        progress: The inputs of the step.
        reports_age: Age in seconds of the oldest report of a host in touch.
    """
    judgement = progress.judgement
    log_event(
        'rollout-stage',
        service=lead.order.service,
        target=lead.order.version,
        stage=lead.stage.name,
        share=round(lead.share, 3),
        reason=lead.reason,
        requests=progress.requests,
        sent=progress.sent,
        reserved=lead.reserved,
        answers=judgement.answers,
        bad=judgement.bad,
        old_bad_share=round(judgement.old_bad_share, 4),
        evidence=round(judgement.evidence, 2),
        waiting=progress.waiting_hosts,
        capacity=round(progress.capacity, 3),
        rate=round(progress.rate, 1),
        age=round(progress.age, 2),
        reports_age=round(reports_age, 2),
    )


def log_taken_over(lead: RolloutLead, before: str) -> None:
    """Log that this host coordinates a roll-out from now on.

    Args:
        lead: The roll-out.
        before: Name of the coordinator before it, if any.
    """
    log_event(
        'rollout-taken-over',
        service=lead.order.service,
        target=lead.order.version,
        term=lead.term,
        stage=lead.stage.name,
        reserved=lead.reserved,
        before=before,
    )


def log_end(lead: RolloutLead, record: RolloutRecord) -> None:
    """Log the recorded end of a roll-out.

    Args:
        lead: The roll-out.
        record: Its last record.
    """
    log_event(
        'rollout-ended',
        service=lead.order.service,
        target=record.version,
        state=record.state,
        reason=record.reason,
        requests=lead.book.requests,
        sent=lead.book.sent,
        reserved=record.reserved,
        answers=lead.judgement.answers,
        bad=lead.judgement.bad,
        seconds=round(time.time() - lead.began_at, 2),
    )
