#pragma once

#include <sagechute/Relay.h>

namespace sagechute::relay {

/// An attempt in flight: what has arrived of its response.
struct Attempt {
    Attempt(unsigned attemptNumber, TimePoint now, dispatch::Placement chosen, const std::string& resumeAfter)
        : number(attemptNumber)
        , placement(std::move(chosen))
        , sentAt(now)
        , lastEventAt(now)
        , splitter(resumeAfter)
    {
    }

    unsigned number;
    dispatch::Placement placement;
    TimePoint sentAt;
    TimePoint lastEventAt;
    TimePoint hedgeDue; ///< When to check whether the target is silent and the request needs a hedge.
    std::optional<edge::TargetResponseHead> head;
    std::string body; ///< Of a response that is not a stream.
    std::size_t reservedBytes = 0; ///< See RequestFlowDelegate::reserveBuffer().
    std::size_t discardedBytes = 0; ///< Of a response that says that the request has not run.
    std::string heldBytes; ///< Of a stream, not forwarded because another attempt may still go on.
    std::string_view rejectReason; ///< Why the rest of the response is discarded; empty: it is forwarded.
    edge::EventSplitter splitter;
};

} // namespace sagechute::relay
