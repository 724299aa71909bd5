#include "membership/MemberTable.h"

#include <algorithm>
#include <cmath>

namespace sagechute::membership {
namespace {

    constexpr std::size_t kMaxMembers = 4096;
    constexpr int kReportedSuspicionFactor = 2;

    /// Of two states for the same version the one later in the order of MemberState takes precedence.
    bool isLater(MemberState left, MemberState right) { return static_cast<int>(left) > static_cast<int>(right); }

    bool isTerminal(MemberState state) { return state == MemberState::Dead || state == MemberState::Left; }

} // namespace

MemberTable::MemberTable(MemberSummary self, const GossipSettings& settings)
    : m_settings(settings)
{
    m_view.version = 1;
    insert({ std::move(self), MemberState::Alive, 0, {} }, TimePoint {});
    m_gossipStates[m_self].stateVersion = this->self().version;
}

std::optional<std::size_t> MemberTable::find(const VmId& vm) const
{
    const Member* member = m_view.find(vm);
    if (!member)
        return std::nullopt;
    return static_cast<std::size_t>(member - m_view.members.data());
}

std::optional<std::size_t> MemberTable::find(LifeTag tag) const
{
    const auto it = m_byTag.find(tag);
    return it == m_byTag.end() ? std::nullopt : std::optional(it->second);
}

bool MemberTable::isActivePeer(std::size_t index) const { return index != m_self && !isTerminal(at(index).state); }

std::size_t MemberTable::activePeerCount() const
{
    std::size_t count = 0;
    for (std::size_t i = 0; i < size(); ++i)
        count += isActivePeer(i) ? 1 : 0;
    return count;
}

Duration MemberTable::suspicionTime() const
{
    // In a larger fleet suspicions and refutations take longer to disseminate.
    const double factor = std::max(1.0, std::log10(static_cast<double>(size()) + 1));
    return Duration(static_cast<Duration::rep>(static_cast<double>(m_settings.suspicion.count()) * factor));
}

void MemberTable::setState(std::size_t index, MemberState state, TimePoint now)
{
    Member& member = m_view.members[index];
    if (member.state == state)
        return;
    member.state = state;
    member.since = now;
    m_gossipStates[index].isLocallySuspected = false;
    ++m_view.version;
}

MergeResult MemberTable::merge(const Claim& claim, ClaimSource source, TimePoint now)
{
    const auto index = find(claim.tag);
    if (!index)
        return MergeResult::Unknown;
    const MergeResult status
        = claim.state == MemberState::Alive ? mergeStatus(*index, claim.status) : MergeResult::Nothing;
    const MergeResult state = mergeState(*index, claim.state, claim.status.version, source, now);
    return state == MergeResult::Nothing ? status : state;
}

MergeResult MemberTable::merge(const SenderHeader& sender, TimePoint now)
{
    const auto index = find(sender.life.vm);
    if (!index || sender.life.incarnation > at(*index).summary.life.incarnation)
        return MergeResult::Unknown;
    if (sender.life.incarnation < at(*index).summary.life.incarnation)
        return MergeResult::Superseded;
    return merge(Claim { gossipState(*index).tag, MemberState::Alive, sender.status }, ClaimSource::Dissemination, now);
}

MergeResult MemberTable::merge(const MemberRecord& record, ClaimSource source, TimePoint now)
{
    const MemberSummary& summary = record.summary;
    const auto index = find(summary.life.vm);
    if (!index) {
        // Dead members that one side has already removed would be exchanged for ever; the age sent with each record
        // prevents that.
        const bool isForgotten = isTerminal(record.state) && record.age >= m_settings.forgetDead;
        if (size() >= kMaxMembers || (isForgotten && !m_retainsDead))
            return MergeResult::Nothing;
        insert(record, now);
        return MergeResult::Changed;
    }
    const Incarnation known = at(*index).summary.life.incarnation;
    if (summary.life.incarnation < known)
        return MergeResult::Superseded;
    if (summary.life.incarnation > known)
        return replaceLife(*index, record, now);
    const MergeResult status = mergeStatus(*index, statusOf(summary));
    const MergeResult state = mergeState(*index, record.state, record.stateVersion, source, now);
    return state == MergeResult::Nothing ? status : state;
}

MergeResult MemberTable::mergeStatus(std::size_t index, const MemberStatus& status)
{
    MemberSummary& summary = m_view.members[index].summary;
    if (index == m_self || status.version <= summary.version || at(index).state == MemberState::Left)
        return MergeResult::Nothing;
    if (status.draining != summary.draining)
        ++m_view.version;
    const bool isUrgent = status.draining != summary.draining;
    summary.version = status.version;
    summary.draining = status.draining;
    summary.logReachable = status.logReachable;
    summary.configOffset = status.configOffset;
    summary.load = status.load;
    disseminate(index, isUrgent);
    return MergeResult::Changed;
}

MergeResult MemberTable::mergeState(
    std::size_t index, MemberState state, std::uint64_t version, ClaimSource source, TimePoint now)
{
    if (index == m_self)
        return refute(state, version);
    GossipState& gossipState = m_gossipStates[index];
    const MemberState current = at(index).state;
    if (current == MemberState::Left)
        return MergeResult::Nothing;
    if (state == MemberState::Left) {
        gossipState.stateVersion = version;
        setState(index, state, now);
        disseminate(index, true);
        return MergeResult::Changed;
    }
    const bool isNewer = version > gossipState.stateVersion;
    if (!isNewer && (version < gossipState.stateVersion || !isLater(state, current))) {
        const bool isRefuted = state != MemberState::Alive && current == MemberState::Alive;
        return isRefuted && version < gossipState.stateVersion ? MergeResult::Outdated : MergeResult::Nothing;
    }
    if (state == MemberState::Dead)
        return mergeDeath(index, version, source, now);
    gossipState.stateVersion = version;
    if (state == current)
        return MergeResult::Nothing;
    setState(index, state, now);
    if (state == MemberState::Alive)
        gossipState.reportedDeadVersion.reset();
    else
        startReportedSuspicion(gossipState, now);
    disseminate(index, true);
    return MergeResult::Changed;
}

void MemberTable::startReportedSuspicion(GossipState& gossipState, TimePoint now) const
{
    gossipState.probeAt = now + suspicionTime();
    gossipState.suspicionEnds = now + kReportedSuspicionFactor * suspicionTime();
}

MergeResult MemberTable::mergeDeath(std::size_t index, std::uint64_t version, ClaimSource source, TimePoint now)
{
    GossipState& gossipState = m_gossipStates[index];
    const MemberState current = at(index).state;
    const bool wasAckedRecently
        = gossipState.ackedProbeSentAt && now - *gossipState.ackedProbeSentAt <= m_settings.freshness;
    // Otherwise, when a partition heals, outdated Dead states from each side would remove members that the other side
    // reaches.
    if (current == MemberState::Alive && (wasAckedRecently || source == ClaimSource::AntiEntropy)) {
        gossipState.reportedDeadVersion = version;
        return MergeResult::Disputed;
    }
    gossipState.stateVersion = version;
    if (current == MemberState::Dead)
        return MergeResult::Nothing;
    const bool wasSuspect = current == MemberState::Suspect;
    setState(index, wasSuspect ? MemberState::Dead : MemberState::Suspect, now);
    startReportedSuspicion(gossipState, now);
    disseminate(index, true);
    return MergeResult::Changed;
}

MergeResult MemberTable::refute(MemberState state, std::uint64_t version)
{
    MemberSummary& summary = m_view.members[m_self].summary;
    const bool isTrue = state == MemberState::Alive && version <= summary.version;
    if (isTrue || m_isLeaving || version < summary.version)
        return MergeResult::Nothing;
    summary.version = version + 1;
    m_gossipStates[m_self].stateVersion = summary.version;
    disseminate(m_self, true);
    return MergeResult::Changed;
}

MergeResult MemberTable::replaceLife(std::size_t index, const MemberRecord& record, TimePoint now)
{
    if (index == m_self) {
        // This process is the older one: its VM was restarted, or taken over by another process, while this one was
        // paused.
        m_isSuperseded = true;
        return MergeResult::Nothing;
    }
    m_byTag.erase(m_gossipStates[index].tag);
    install(index, record, now);
    ++m_view.version;
    return MergeResult::Changed;
}

void MemberTable::insert(const MemberRecord& record, TimePoint now)
{
    auto& members = m_view.members;
    const auto place = std::lower_bound(members.begin(), members.end(), record.summary.life.vm,
        [](const Member& member, const VmId& vm) { return member.summary.life.vm < vm; });
    const auto index = static_cast<std::size_t>(place - members.begin());
    const bool isFirst = members.empty();
    if (!isFirst && index <= m_self)
        ++m_self;
    members.insert(place, Member {});
    m_gossipStates.insert(m_gossipStates.begin() + static_cast<std::ptrdiff_t>(index), GossipState {});
    install(index, record, now);
    reindex();
    if (!isTerminal(record.state))
        ++m_view.version;
}

void MemberTable::install(std::size_t index, const MemberRecord& record, TimePoint now)
{
    m_view.members[index] = { record.summary, record.state, now - record.age };
    GossipState& gossipState = m_gossipStates[index];
    cancelDissemination(gossipState);
    gossipState = {};
    gossipState.tag = tagOf(record.summary.life);
    gossipState.stateVersion = std::max(record.stateVersion, record.summary.version);
    startReportedSuspicion(gossipState, now);
    gossipState.isRecord = true;
    m_byTag[gossipState.tag] = index;
    disseminate(index, true);
}

void MemberTable::erase(std::size_t index)
{
    cancelDissemination(m_gossipStates[index]);
    m_view.members.erase(m_view.members.begin() + static_cast<std::ptrdiff_t>(index));
    m_gossipStates.erase(m_gossipStates.begin() + static_cast<std::ptrdiff_t>(index));
    if (index < m_self)
        --m_self;
    reindex();
}

void MemberTable::reindex()
{
    m_byTag.clear();
    for (std::size_t i = 0; i < m_gossipStates.size(); ++i)
        m_byTag[m_gossipStates[i].tag] = i;
}

void MemberTable::suspect(std::size_t index, TimePoint now)
{
    if (!isActivePeer(index))
        return;
    GossipState& gossipState = m_gossipStates[index];
    const TimePoint ends = now + suspicionTime();
    if (at(index).state == MemberState::Alive) {
        gossipState.stateVersion = std::max(gossipState.stateVersion, at(index).summary.version);
        setState(index, MemberState::Suspect, now);
        gossipState.suspicionEnds = ends;
        disseminate(index, true);
    }
    gossipState.suspicionEnds = std::min(gossipState.suspicionEnds, ends);
    gossipState.isLocallySuspected = true;
}

void MemberTable::expireSuspicions(TimePoint now)
{
    for (std::size_t i = 0; i < size(); ++i) {
        if (at(i).state != MemberState::Suspect || m_gossipStates[i].suspicionEnds > now)
            continue;
        setState(i, MemberState::Dead, now);
        disseminate(i, true);
    }
}

std::vector<VmId> MemberTable::takeSuspectsToProbe(TimePoint now)
{
    std::vector<VmId> found;
    for (std::size_t i = 0; i < size(); ++i) {
        if (at(i).state != MemberState::Suspect || m_gossipStates[i].probeAt > now)
            continue;
        m_gossipStates[i].probeAt = TimePoint::max();
        if (!m_gossipStates[i].isLocallySuspected)
            found.push_back(at(i).summary.life.vm);
    }
    return found;
}

void MemberTable::extendSuspicions(Duration pause)
{
    for (GossipState& it : m_gossipStates)
        it.suspicionEnds += pause;
}

void MemberTable::removeExpired(TimePoint now, bool hearsMajority)
{
    m_retainsDead = !hearsMajority;
    for (std::size_t i = size(); i-- > 0;) {
        const bool isKept = at(i).state == MemberState::Dead && m_retainsDead;
        if (i != m_self && isTerminal(at(i).state) && !isKept && now - at(i).since >= m_settings.forgetDead)
            erase(i);
    }
}

void MemberTable::setSelfStatus(MemberStatus status, bool isUrgent)
{
    MemberSummary& summary = m_view.members[m_self].summary;
    if (status.draining != summary.draining)
        ++m_view.version;
    ++summary.version;
    summary.draining = status.draining;
    summary.logReachable = status.logReachable;
    summary.configOffset = status.configOffset;
    summary.load = status.load;
    m_gossipStates[m_self].stateVersion = summary.version;
    disseminate(m_self, isUrgent);
}

void MemberTable::leave(TimePoint now)
{
    m_isLeaving = true;
    MemberSummary& summary = m_view.members[m_self].summary;
    ++summary.version;
    m_gossipStates[m_self].stateVersion = summary.version;
    setState(m_self, MemberState::Left, now);
    disseminate(m_self, true);
}

} // namespace sagechute::membership
