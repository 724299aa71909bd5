#include <sagechute/Quarantine.h>

#include <algorithm>

namespace sagechute::quarantine {

namespace {

    /// An attempt has survived once its target has gone on for this long after it began to answer: a prompt that
    /// crashes its target does so when the answer begins.
    constexpr Duration survivalTime = std::chrono::milliseconds(500);

    /// With this many exits a part is a suspect.
    constexpr unsigned suspectThreshold = 2;

    /// A sound part that is in use has been cleared after this time. Until then suspicion has no consequences, so that
    /// an exit doesn't keep all requests that share a part with one of its victims from being sent again.
    constexpr Duration minSuspectAge = std::chrono::milliseconds(1500);

    /// As minSuspectAge, before a part is quarantined. Covers the time until a survival at any router is known at all.
    constexpr Duration minQuarantineAge = std::chrono::seconds(2);

    /// Exits under attempts that were sent when an earlier exit was known. Without any, all exits may be a single
    /// event, such as the loss of a rack.
    constexpr unsigned minRepeatedExits = 2;

    /// Attempts without the part that survived since.
    constexpr unsigned minSurvivalsOfOthers = 3;

    void append(std::vector<CrashRecord>& records, const std::vector<CrashRecord>& more)
    {
        records.insert(records.end(), more.begin(), more.end());
    }

    bool contains(const std::vector<PartKey>& parts, PartKey part)
    {
        return std::find(parts.begin(), parts.end(), part) != parts.end();
    }

} // namespace

Standing PartGuard::standing(TimePoint now, const std::vector<PartKey>& parts)
{
    Standing standing = Standing::Clear;
    for (const PartKey part : parts) {
        if (!m_suspects.contains(part))
            continue;
        const CrashCase crashes = m_records.find(part);
        if (crashes.targets.size() < suspectThreshold)
            continue; // Evicted.
        if (crashes.isPartQuarantined()) {
            m_records.markRequested(now, part);
            if (!isExplainedByOther(crashes, parts))
                return Standing::Quarantined;
            // One attempt at a time answers whether this part is sound without the other one.
            standing = std::max(standing, isInFlight(part) ? Standing::Undecided : Standing::Suspect);
        } else if (now - crashes.firstLearnedAt >= minSuspectAge) {
            standing = std::max(standing, Standing::Suspect);
        }
    }
    return standing;
}

void PartGuard::sent(TimePoint now, TrialId id, const std::vector<PartKey>& parts)
{
    m_trials[id] = { parts, now, std::nullopt, false };
}

void PartGuard::answering(TimePoint now, TrialId id)
{
    if (const auto it = m_trials.find(id); it != m_trials.end() && !it->second.answeringSince)
        it->second.answeringSince = now;
}

std::vector<PartKey> PartGuard::ended(TimePoint now, TrialId id, bool isAnswered)
{
    const auto it = m_trials.find(id);
    if (it == m_trials.end())
        return {};
    Trial trial = std::move(it->second);
    m_trials.erase(it);
    if (trial.answeringSince && (isAnswered || now - *trial.answeringSince >= survivalTime))
        recordSurvival(trial);
    return trial.hasSurvived ? std::vector<PartKey> {} : std::move(trial.parts);
}

void PartGuard::exited(TimePoint now, TargetKey target, const std::map<PartKey, TimePoint>& parts)
{
    for (const auto& [part, sentAt] : parts) {
        const CrashCase before = m_records.find(part);
        const bool isRepeated = !before.targets.empty() && before.firstLearnedAt < sentAt;
        const CrashRecord record { part, target, false, false, isRepeated };
        merge(now, record, ownRecordTransmissions);
        const unsigned exitCount = m_records.exitCount(part);
        // Only records of suspects are stored.
        if (exitCount == suspectThreshold)
            append(m_changes.ownRecords, m_records.unclearedRecords(part));
        else if (exitCount > suspectThreshold)
            m_changes.ownRecords.push_back(record);
    }
}

void PartGuard::tick(TimePoint now)
{
    for (auto& [id, trial] : m_trials) {
        if (!trial.hasSurvived && trial.answeringSince && now - *trial.answeringSince >= survivalTime)
            recordSurvival(trial);
    }
    std::erase_if(m_suspects, [this](const auto& it) { return m_records.exitCount(it.first) < suspectThreshold; });
    for (const auto& [part, survivalsOfOthers] : m_suspects) {
        if (!isToBeQuarantined(now, m_records.find(part), survivalsOfOthers))
            continue;
        append(m_changes.ownRecords, m_records.confirm(part));
        m_changes.quarantined.push_back(m_records.find(part));
    }
}

bool PartGuard::isToBeQuarantined(TimePoint now, const CrashCase& crashes, SurvivalsOfOthers survivalsOfOthers) const
{
    if (crashes.isPartQuarantined() || crashes.targets.size() < partQuarantineThreshold
        || crashes.repeated < minRepeatedExits || survivalsOfOthers < minSurvivalsOfOthers
        || now - crashes.firstLearnedAt < minQuarantineAge)
        return false;
    return std::none_of(m_trials.begin(), m_trials.end(), [&](const auto& it) {
        const Trial& trial = it.second;
        return trial.answeringSince && !trial.hasSurvived && contains(trial.parts, crashes.subject);
    });
}

bool PartGuard::isExplainedByOther(const CrashCase& crashes, const std::vector<PartKey>& prompt) const
{
    return std::any_of(m_suspects.begin(), m_suspects.end(), [&](const auto& it) {
        if (contains(prompt, it.first))
            return false;
        const CrashCase other = m_records.find(it.first);
        return other.isPartQuarantined()
            && std::includes(
                other.targets.begin(), other.targets.end(), crashes.targets.begin(), crashes.targets.end());
    });
}

bool PartGuard::isInFlight(PartKey part) const
{
    return std::any_of(
        m_trials.begin(), m_trials.end(), [part](const auto& it) { return contains(it.second.parts, part); });
}

void PartGuard::recordSurvival(Trial& trial)
{
    if (std::exchange(trial.hasSurvived, true))
        return;
    for (const PartKey part : trial.parts)
        clear(part, trial.sentAt);
    for (auto& [part, survivalsOfOthers] : m_suspects) {
        if (!contains(trial.parts, part) && m_records.find(part).firstLearnedAt < trial.sentAt)
            ++survivalsOfOthers;
    }
}

void PartGuard::merge(TimePoint now, const CrashRecord& record, unsigned transmissions)
{
    const bool wasQuarantined = m_records.find(record.subject).isPartQuarantined();
    m_records.merge(now, record, transmissions);
    updateSuspect(record.subject, record.isCleared);
    const CrashCase after = m_records.find(record.subject);
    if (wasQuarantined && !after.isPartQuarantined())
        m_changes.released.push_back(record.subject);
    else if (!wasQuarantined && after.isPartQuarantined())
        m_changes.quarantined.push_back(after);
}

std::vector<CrashRecord> PartGuard::clearedRecords(const std::vector<PartKey>& quarantined) const
{
    std::vector<CrashRecord> found;
    for (const PartKey it : quarantined) {
        if (!m_records.find(it).isPartQuarantined())
            append(found, m_records.clearedRecords(it));
    }
    return found;
}

void PartGuard::release(TimePoint now, const std::vector<CrashRecord>& records)
{
    for (const CrashRecord& it : records)
        merge(now, it, ownRecordTransmissions);
}

void PartGuard::clear(PartKey part, TimePoint learnedUntil)
{
    const CrashCase before = m_records.find(part);
    const std::vector<CrashRecord> cleared = m_records.clear(part, learnedUntil);
    if (cleared.empty())
        return;
    updateSuspect(part, true);
    if (before.isPartQuarantined() && !m_records.find(part).isPartQuarantined())
        m_changes.released.push_back(part);
    if (before.targets.size() >= suspectThreshold)
        append(m_changes.ownRecords, cleared);
}

void PartGuard::updateSuspect(PartKey part, bool hasClearing)
{
    // What others survived before a clearing says nothing about the exits after it.
    if (hasClearing || m_records.exitCount(part) < suspectThreshold)
        m_suspects.erase(part);
    if (m_records.exitCount(part) >= suspectThreshold)
        m_suspects.try_emplace(part, 0);
}

} // namespace sagechute::quarantine
