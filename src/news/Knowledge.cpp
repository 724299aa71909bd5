#include <sagechute/News.h>

#include <algorithm>

namespace sagechute::news {

namespace {

    void advance(std::optional<TimePoint>& until, TimePoint to)
    {
        if (!until || *until < to)
            until = to;
    }

    /// Clocks of two VMs drift apart, so an earlier minimum difference may never be reached again.
    constexpr double maxClockDrift = 0.0005;

    /// Upper bound of the minimum transit time between two availability zones of a region, including receipt.
    constexpr Duration minTransitTime = std::chrono::milliseconds(20);

    /// Messages that were queued together are received together; after this time one has arrived that was not queued.
    constexpr Duration warmUpTime = std::chrono::milliseconds(150);

    void add(std::optional<Duration>& age, Duration delay)
    {
        if (age)
            *age += delay;
    }

    std::optional<Duration> ageOf(std::optional<TimePoint> at, TimePoint now)
    {
        return at ? std::optional<Duration>(std::max(Duration::zero(), Duration(now - *at))) : std::nullopt;
    }

} // namespace

ToldKnowledge tell(const Knowledge& known, std::optional<TimePoint> readAt, TimePoint now)
{
    return { known.configVersion, ageOf(known.configUntil, now), known.targetsNext, ageOf(known.targetsUntil, now),
        ageOf(readAt, now), ageOf(known.targetsFrom, now), known.operatorNext };
}

Duration TransitMeter::delay(TimePoint sent, TimePoint received)
{
    const Duration difference = received - sent;
    if (m_least)
        *m_least += std::chrono::duration_cast<Duration>((received - m_at) * maxClockDrift);
    else
        m_firstAt = received;
    m_at = received;
    m_least = std::min(m_least.value_or(difference), difference);
    return received - m_firstAt < warmUpTime ? unknownDelay : difference - *m_least;
}

ToldKnowledge delayed(const ToldKnowledge& told, Duration delay)
{
    ToldKnowledge result = told;
    for (std::optional<Duration>* age : { &result.configAge, &result.targetsAge, &result.readAge })
        add(*age, minTransitTime + delay);
    return result;
}

bool knowsOperatorRecordsOf(const Knowledge& mine, const ToldKnowledge& told)
{
    const bool tellsOffset = told.operatorNext.offset > 0 || mine.operatorNext.offset == 0;
    const bool isSameEra = told.operatorNext.era == mine.operatorNext.era;
    return tellsOffset && isSameEra && told.configVersion <= mine.configVersion
        && told.operatorNext <= mine.operatorNext;
}

Missing learn(Knowledge& mine, const ToldKnowledge& told, TimePoint now)
{
    Missing missing;
    const bool isAhead = told.configVersion > mine.configVersion || told.operatorNext > mine.operatorNext;
    missing.config = told.configAge && (isAhead || !mine.configUntil);
    missing.targets = told.targetsAge && (told.targetsNext > mine.targetsNext || !mine.targetsUntil);
    if (told.configAge && !missing.config && knowsOperatorRecordsOf(mine, told))
        advance(mine.configUntil, now - *told.configAge);
    if (told.targetsAge && !missing.targets && told.targetsNext.era == mine.targetsNext.era)
        advance(mine.targetsUntil, now - *told.targetsAge);
    return missing;
}

std::optional<ReadSpan> toldRead(const ToldKnowledge& told, TimePoint asOf, TimePoint heard)
{
    if (!told.targetsAge)
        return std::nullopt;
    const TimePoint until = asOf - *told.targetsAge;
    const TimePoint from = told.targetsFromAge ? heard - *told.targetsFromAge : until;
    return ReadSpan { from, until, true };
}

std::optional<TimePoint> knownUntil(const Knowledge& known)
{
    if (!known.configUntil || !known.targetsUntil)
        return std::nullopt;
    return std::min(*known.configUntil, *known.targetsUntil);
}

std::optional<TimePoint> witnessedUntil(const Knowledge& known, const TargetRoster& roster)
{
    return std::min(knownUntil(known), roster.witnessedUntil());
}

TimePoint knownByRead(TimePoint sent, TimePoint answered, Duration wait, bool isEmpty)
{
    const bool wasHeld = isEmpty && answered - sent >= wait;
    return wasHeld ? sent + wait : sent;
}

} // namespace sagechute::news
