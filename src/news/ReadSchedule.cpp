#include <sagechute/News.h>

#include <algorithm>

namespace sagechute::news {

namespace {

    // Parts of the bound. A reader knows all up to a fifth of it; two heartbeats later so do the others. A reader
    // that fails is replaced at four tenths, and past half of it nobody relies on anybody.
    constexpr double waitPart = 0.2;
    constexpr double readerLostPart = 0.4;
    constexpr double ownReadPart = 0.5;
    constexpr double spreadPart = 0.04;
    constexpr double askPart = 0.55;

    /// What is left of the bound when a router begins to ask lets it ask eleven others.
    constexpr double askNextPart = 0.04;

    /// When the store is away the other routers know no more, so that after an answer there is time.
    constexpr double leastAskPausePart = 0.1;
    constexpr double mostAskPausePart = 0.5;

    /// A store that answers nobody is asked by all of a large fleet, so that each asks seldom; but after its return,
    /// and after a call that hung, the bound must still be kept.
    constexpr double mostRetryPart = 0.75;
    constexpr double firstRetryPart = 0.4;

    /// Where this VM's own link is full each packet waits for some hundred ms.
    constexpr double patiencePart = 0.25;

    /// In a fleet of hundreds that starts, what a seed has read goes to its zone's relay, to the other relays and to
    /// their zones: three heartbeats and three fetches, some 900 ms.
    constexpr Duration firstStartDelay = std::chrono::milliseconds(1200);

    /// Callers wait for a router that starts amid its work. One that starts alone has heard from its zone's relay by
    /// then; where all have been lost together it reads at once, as the seeds may take longer to return.
    constexpr Duration restartDelay = std::chrono::milliseconds(300);

    constexpr unsigned mostDoublings = 6;

    Duration part(Duration whole, double share) { return std::chrono::duration_cast<Duration>(whole * share); }

    bool comesBefore(const ReaderPeer& it, const VmId& self, std::uint32_t capacity)
    {
        return it.capacity != capacity ? it.capacity > capacity : it.vm < self;
    }

    Duration retryDelay(const ReadOccasion& occasion, const NewsTimes& times)
    {
        if (occasion.standing.isReader)
            return occasion.retryDelay;
        const unsigned doublings = std::min(std::max(1U, occasion.failures) - 1, mostDoublings);
        return std::min(times.mostRetry, times.firstRetry * (1 << doublings));
    }

} // namespace

NewsTimes NewsTimes::make(Duration bound, bool isFirstStart)
{
    return {
        .bound = bound,
        .wait = part(bound, waitPart),
        .readerLost = part(bound, readerLostPart),
        .ownRead = part(bound, ownReadPart),
        .spread = part(bound, spreadPart),
        .ask = part(bound, askPart),
        .storeBreak = std::min(part(bound, askPart), TargetRoster::awayTime),
        .firstRetry = part(bound, firstRetryPart),
        .mostRetry = part(bound, mostRetryPart),
        .askNext = part(bound, askNextPart),
        .leastAskPause = part(bound, leastAskPausePart),
        .mostAskPause = part(bound, mostAskPausePart),
        .patience = part(bound, patiencePart),
        .startWait = isFirstStart ? firstStartDelay : restartDelay,
    };
}

ReadStanding standing(
    const VmId& self, std::uint32_t capacity, const std::vector<ReaderPeer>& others, const NewsTimes& times)
{
    ReadStanding result { true, 0 };
    for (const ReaderPeer& it : others) {
        if (!comesBefore(it, self, capacity))
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
        due += times.startWait + part(times.spread, occasion.place);
    else if (occasion.knownUntil && !occasion.standing.isReader)
        due = *occasion.knownUntil + times.ownRead - times.spread + part(times.spread, occasion.place);
    if (occasion.failedAt)
        due = std::max(due, *occasion.failedAt + retryDelay(occasion, times));
    return due;
}

} // namespace sagechute::news
