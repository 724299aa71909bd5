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

    /// Between two requests to other routers, and the longest: when the store is away they all know no more.
    constexpr double askPausePart = 0.1;
    constexpr double mostAskPausePart = 0.5;

    /// A store that answers nobody is asked by all of a large fleet, so that each asks seldom; but after its return,
    /// and after a call that hung, the bound must still be kept.
    constexpr double mostRetryPart = 0.75;
    constexpr double firstRetryPart = 0.4;

    /// The kernel accepts a connection in some ms, also for a process that stands still.
    constexpr Duration leastPatience = std::chrono::milliseconds(200);
    constexpr double mostPatiencePart = 0.25;

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
    return { bound, part(bound, waitPart), part(bound, readerLostPart), part(bound, ownReadPart),
        part(bound, spreadPart), part(bound, askPart), part(bound, firstRetryPart), part(bound, mostRetryPart),
        part(bound, mostPatiencePart), isFirstStart ? firstStartDelay : restartDelay };
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

TimePoint askDue(const AskOccasion& occasion, const NewsTimes& times)
{
    const TimePoint due = occasion.knownUntil ? *occasion.knownUntil + times.ask : occasion.startedAt + times.startWait;
    if (!occasion.askedAt || occasion.asked == 0)
        return due;
    const Duration pause = part(times.bound, askPausePart) * (1 << std::min(occasion.asked - 1, mostDoublings));
    return std::max(due, *occasion.askedAt + std::min(pause, part(times.bound, mostAskPausePart)));
}

Duration peerPatience(unsigned failures, const NewsTimes& times)
{
    return std::min(times.mostPatience, leastPatience * (1 << std::min(failures, mostDoublings)));
}

} // namespace sagechute::news
