#include <sagechute/Delivery.h>

namespace sagechute::delivery {
namespace {

    // A plain fetch_add with a check afterwards would let the count pass its bound for a moment, and two callers that
    // see this would both withdraw although one of them had room.
    template <typename Count> bool addWithin(std::atomic<Count>& count, Count amount, Count bound)
    {
        Count seen = count.load(std::memory_order_relaxed);
        do {
            if (amount > bound || seen > bound - amount)
                return false;
        } while (!count.compare_exchange_weak(seen, seen + amount, std::memory_order_relaxed));
        return true;
    }

    // A count that wrapped around would refuse the customer for ever; one that is too low only admits a request early.
    template <typename Count> void subtract(std::atomic<Count>& count, Count amount)
    {
        Count seen = count.load(std::memory_order_relaxed);
        while (!count.compare_exchange_weak(seen, seen > amount ? seen - amount : 0, std::memory_order_relaxed)) { }
    }

    absl::Status tooLarge(std::uint64_t bytes, const AdmissionLimits& limits)
    {
        return makeError(ErrorKind::TooLarge,
            "the request of " + std::to_string(bytes) + " bytes is above the customer's "
                + std::to_string(limits.maxQueuedBytes) + " bytes of waiting requests",
            "send a smaller request or ask an operator to raise the customer's maxQueuedBytes");
    }

    absl::Status tooManyOpen(const AdmissionLimits& limits)
    {
        return makeError(ErrorKind::TooManyRequests,
            "the customer has " + std::to_string(limits.maxOpen) + " requests open at this router",
            "wait for one of them to end, then send again");
    }

    absl::Status queueFull(std::string_view bound)
    {
        return makeError(ErrorKind::QueueFull,
            "the customer's queue at this router holds its most " + std::string(bound),
            "wait for the time in Retry-After, then send again");
    }

} // namespace

absl::Status AdmissionCounters::enter(const AdmissionLimits& limits, std::uint64_t bytes)
{
    if (bytes > limits.maxQueuedBytes)
        return tooLarge(bytes, limits);
    if (!addWithin(m_open, 1U, limits.maxOpen))
        return tooManyOpen(limits);
    if (!addWithin(m_queued, 1U, limits.maxQueued)) {
        subtract(m_open, 1U);
        return queueFull("requests");
    }
    if (!addWithin(m_queuedBytes, bytes, limits.maxQueuedBytes)) {
        subtract(m_queued, 1U);
        subtract(m_open, 1U);
        return queueFull("bytes");
    }
    return absl::OkStatus();
}

void AdmissionCounters::leaveQueue(std::uint64_t bytes)
{
    subtract(m_queued, 1U);
    subtract(m_queuedBytes, bytes);
}

void AdmissionCounters::leave(std::uint64_t bytes, bool waiting)
{
    if (waiting)
        leaveQueue(bytes);
    subtract(m_open, 1U);
}

} // namespace sagechute::delivery
