#include <sagechute/Dispatch.h>

namespace sagechute::dispatch {

std::string_view toString(AttemptEnd end)
{
    switch (end) {
    case AttemptEnd::Answered:
        return "answered";
    case AttemptEnd::Failed:
        return "failed";
    case AttemptEnd::NotRun:
        return "not-run";
    case AttemptEnd::WrongTarget:
        return "wrong-target";
    case AttemptEnd::Unreachable:
        return "unreachable";
    case AttemptEnd::Withdrawn:
        return "withdrawn";
    case AttemptEnd::Broken:
        return "broken";
    case AttemptEnd::Silent:
        return "silent";
    case AttemptEnd::CallerGone:
        return "caller-gone";
    case AttemptEnd::Superseded:
        return "superseded";
    }
    return "";
}

std::string toString(const TargetSignals& signals)
{
    std::string text = signals.isDraining ? "+draining" : "";
    if (signals.backoff)
        text += "+backoff:"
            + std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(*signals.backoff).count());
    if (signals.isCold())
        text += "+cold:"
            + std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(*signals.coldLeft).count());
    if (signals.isRejectedAsFull && signals.load)
        text += "+full:" + std::to_string(signals.load->running) + "/" + std::to_string(signals.load->waiting) + "/"
            + std::to_string(signals.load->slots);
    return text;
}

std::string_view toString(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::NoTarget:
        return "no-target";
    case RefusalReason::Overloaded:
        return "overloaded";
    case RefusalReason::OverShare:
        return "over-share";
    case RefusalReason::OverLimit:
        return "over-limit";
    case RefusalReason::RetryBudget:
        return "retry-budget";
    case RefusalReason::Backoff:
        return "backoff";
    case RefusalReason::Quarantined:
        return "quarantined";
    case RefusalReason::PartSuspected:
        return "prompt-part-suspected";
    case RefusalReason::PartQuarantined:
        return "prompt-part-quarantined";
    case RefusalReason::Evacuated:
        return "evacuated";
    case RefusalReason::ColdTargets:
        return "cold-targets";
    }
    return "";
}

NextStep nextStep(const AttemptFacts& facts)
{
    const bool hasTriesLeft = facts.triesSoFar < maxTries;
    switch (facts.end) {
    case AttemptEnd::Answered:
    case AttemptEnd::CallerGone:
    case AttemptEnd::Superseded:
        return NextStep::Relay;
    case AttemptEnd::NotRun:
    case AttemptEnd::WrongTarget:
    case AttemptEnd::Unreachable:
    case AttemptEnd::Withdrawn:
        // The request did not run on this target, so another attempt cannot make it run twice.
        if (hasTriesLeft)
            return NextStep::TryElsewhere;
        return facts.mayHaveRunBefore ? NextStep::Fail : NextStep::Refuse;
    case AttemptEnd::Failed:
    case AttemptEnd::Broken:
    case AttemptEnd::Silent:
        break;
    }
    const bool mayRunAgain = facts.kind == RequestKind::Idempotent
        || (facts.kind == RequestKind::Stream && facts.isResumable && facts.end != AttemptEnd::Failed);
    if (mayRunAgain && hasTriesLeft && facts.runsSoFar < facts.maxAttempts)
        return NextStep::TryElsewhere;
    return facts.end == AttemptEnd::Failed && !facts.hasStarted ? NextStep::Relay : NextStep::Fail;
}

} // namespace sagechute::dispatch
