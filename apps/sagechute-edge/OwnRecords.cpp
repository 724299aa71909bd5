#include "OwnRecords.h"

#include <algorithm>

namespace sagechute::edge {

namespace {

    /// Time over which routers that announce themselves again spread their calls, since all share one rate limit.
    constexpr std::chrono::milliseconds announceSpread { 2000 };

    /// Erases the oldest elements beyond maxPendingRecords, among them first those that are not cleared.
    template <typename Elements, typename IsCleared> void eraseExcess(Elements& elements, IsCleared&& isCleared)
    {
        while (elements.size() > maxPendingRecords) {
            const auto it = std::find_if_not(elements.begin(), elements.end(), isCleared);
            elements.erase(it == elements.end() ? elements.begin() : it);
        }
    }

} // namespace

news::StoreEra knownStoreEra(const news::Knowledge& known, const news::FleetStore& store)
{
    return std::max({ store.era(), known.targetsNext.era, known.operatorNext.era });
}

void dropExcess(std::deque<quarantine::CrashRecord>& records)
{
    eraseExcess(records, [](const quarantine::CrashRecord& it) { return it.isCleared; });
}

void WrittenRecords::add(TimePoint now, news::StoreEra era, const std::vector<quarantine::CrashRecord>& records)
{
    for (const quarantine::CrashRecord& it : records)
        m_records.push_back({ it, era, now });
    eraseExcess(m_records, [](const Written& it) { return it.record.isCleared; });
}

std::vector<quarantine::CrashRecord> WrittenRecords::takeLost(news::StoreEra era)
{
    std::vector<quarantine::CrashRecord> lost;
    for (const Written& it : m_records) {
        if (it.era < era)
            lost.push_back(it.record);
    }
    std::erase_if(m_records, [era](const Written& it) { return it.era < era; });
    return lost;
}

void WrittenRecords::forgetOld(TimePoint witnessed)
{
    std::erase_if(m_records, [witnessed](const Written& it) { return it.at < witnessed - news::maxCopyAge; });
}

AnnouncementSchedule::AnnouncementSchedule(const VmId& router)
    : m_delay(stableHash(router.value) % announceSpread.count())
{
}

bool AnnouncementSchedule::isDue(TimePoint now, news::StoreEra era)
{
    if (!m_announcedIn)
        return true;
    if (era <= *m_announcedIn)
        return false;
    if (!m_dueAgain)
        m_dueAgain = now + m_delay;
    return now >= *m_dueAgain;
}

void AnnouncementSchedule::announced(news::StoreEra era)
{
    m_announcedIn = era;
    m_dueAgain.reset();
}

} // namespace sagechute::edge
