#include <sagechute/Edge.h>

namespace sagechute::edge {

namespace {

    constexpr int unavailable = 503;

    /// By then the caller has tried another router, or this one has caught up.
    constexpr Duration staleRetryAfter = std::chrono::milliseconds(300);

} // namespace

Denial denialOf(int status, bool isKnowledgeStale)
{
    return isKnowledgeStale ? Denial { unavailable, staleRetryAfter } : Denial { status, std::nullopt };
}

} // namespace sagechute::edge
