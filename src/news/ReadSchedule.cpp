#include <sagechute/News.h>

#include <algorithm>

namespace sagechute::news {

namespace {

    // Fractions of the bound. A reader's data is at most a fifth of it old, and two heartbeats later the others have
    // it. A failed reader is replaced at four tenths, and past half of the bound each router reads for itself.
    constexpr double waitFraction = 0.2;
    constexpr double readerLostFraction = 0.4;
    constexpr double ownReadFraction = 0.5;
    constexpr double spreadFraction = 0.04;
    constexpr double askFraction = 0.55;

    /// The rest of the bound when a router starts asking suffices to ask eleven others.
    constexpr double askNextFraction = 0.04;

    /// While the store is unavailable the other routers have no newer data, so there is no hurry after a response.
    constexpr double minAskPauseFraction = 0.1;
    constexpr double maxAskPauseFraction = 0.5;

    /// While the store answers nobody, all routers of a large fleet retry, so each must do so rarely; but the bound
    /// must still hold after the store's return and after a call that hung.
    constexpr double maxRetryFraction = 0.75;
    constexpr double firstRetryFraction = 0.4;

    /// Observations come every 25 ms, and a stall matters from about half of the bound on, as the data of a router in
    /// touch may be as old as the other half.
    constexpr double stallFraction = 0.25;

    /// On a saturated local link each packet is queued for some hundred ms.
    constexpr double patienceFraction = 0.25;

    /// When a fleet of hundreds starts, data read by a seed travels to its zone's relay, the other relays and their
    /// zones: three heartbeats and three fetches, about 900 ms.
    constexpr Duration firstStartDelay = std::chrono::milliseconds(1200);

    /// Callers wait for a router that restarts in a running fleet. One that restarts alone has received data from its
    /// zone's relay by then. If all were lost together it reads after this delay, as the seeds may take longer to
    /// return.
    constexpr Duration restartDelay = std::chrono::milliseconds(300);

    constexpr unsigned maxDoublings = 6;

    Duration fractionOf(Duration whole, double share) { return std::chrono::duration_cast<Duration>(whole * share); }

    bool precedes(const ReaderPeer& it, const VmId& self, std::uint32_t capacity)
    {
        return it.capacity != capacity ? it.capacity > capacity : it.vm < self;
    }

    Duration retryDelay(const ReadOccasion& occasion, const NewsTimes& times)
    {
        if (occasion.standing.isReader)
            return occasion.retryDelay;
        const unsigned doublings = std::min(std::max(1U, occasion.failures) - 1, maxDoublings);
        return std::min(times.maxRetry, times.firstRetry * (1 << doublings));
    }

} // namespace

NewsTimes NewsTimes::make(Duration bound, bool isFirstStart)
{
    return {
        .bound = bound,
        .wait = fractionOf(bound, waitFraction),
        .readerLost = fractionOf(bound, readerLostFraction),
        .ownRead = fractionOf(bound, ownReadFraction),
        .spread = fractionOf(bound, spreadFraction),
        .ask = fractionOf(bound, askFraction),
        .storeBreak = std::min(fractionOf(bound, askFraction), TargetRoster::entryLapseTime),
        .stall = fractionOf(bound, stallFraction),
        .firstRetry = fractionOf(bound, firstRetryFraction),
        .maxRetry = fractionOf(bound, maxRetryFraction),
        .askNext = fractionOf(bound, askNextFraction),
        .minAskPause = fractionOf(bound, minAskPauseFraction),
        .maxAskPause = fractionOf(bound, maxAskPauseFraction),
        .patience = fractionOf(bound, patienceFraction),
        .startWait = isFirstStart ? firstStartDelay : restartDelay,
    };
}

ReadStanding standing(
    const VmId& self, std::uint32_t capacity, const std::vector<ReaderPeer>& others, const NewsTimes& times)
{
    ReadStanding result { true, 0 };
    for (const ReaderPeer& it : others) {
        if (!precedes(it, self, capacity))
            continue;
        ++result.rank;
        if (it.readAge && *it.readAge <= times.readerLost)
            result.isReader = false;
    }
    return result;
}

TimePoint readDue(const ReadOccasion& occasion, const NewsTimes& times)
{
    TimePoint due = occasion.startedAt;
    const bool knowsNothing = !occasion.knownUntil || *occasion.knownUntil < occasion.startedAt;
    if (knowsNothing && !occasion.isSeed)
        due += times.startWait + fractionOf(times.spread, occasion.place);
    else if (occasion.knownUntil && !occasion.standing.isReader)
        due = *occasion.knownUntil + times.ownRead - times.spread + fractionOf(times.spread, occasion.place);
    if (occasion.failedAt)
        due = std::max(due, *occasion.failedAt + retryDelay(occasion, times));
    return due;
}

bool isRenewalAwaited(
    TimePoint now, std::optional<TimePoint> stalledUntil, std::optional<TimePoint> knownUntil, const NewsTimes& times)
{
    const bool isAfterStall = stalledUntil && now - *stalledUntil < times.patience;
    return isAfterStall && (!knownUntil || now - *knownUntil > times.ask);
}

} // namespace sagechute::news
