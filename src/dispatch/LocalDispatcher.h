#pragma once

#include "dispatch/BackoffTable.h"
#include "dispatch/CustomerShares.h"
#include "dispatch/HomeOrder.h"
#include "dispatch/KindBalance.h"
#include "dispatch/RetryWindow.h"
#include "dispatch/SizeBalance.h"
#include "dispatch/TargetModel.h"

#include <unordered_set>

namespace sagechute::dispatch {

/// Dispatcher over the models of all targets.
class LocalDispatcher final : public Dispatcher {
public:
    LocalDispatcher(const DispatchSettings&, ZoneId ownZone, std::uint64_t seed);

    void setConfig(std::shared_ptr<const RoutingTable>) override;
    void setTargets(TimePoint now, const std::vector<Target>&) override;
    Decision place(TimePoint now, const Demand&, Round) override;
    void turnedAway(TimePoint now, const CustomerId&, const PromptSize&) override;
    void firstAnswer(TimePoint now, AttemptId) override;
    void ended(TimePoint now, AttemptId, AttemptEnd) override;
    bool backOff(TimePoint now, const TargetLife&, Duration) override;
    bool maySend(TimePoint now, const TargetLife&) const override;
    Refusal giveUp(TimePoint now, const ServiceId&) override;
    LoadReport report(TimePoint now) override;
    void peerReported(TimePoint now, const VmId& peer, const LoadReport&) override;
    void setRouterCount(unsigned n) override;
    bool hasTargets() const override;
    SharesView shares(TimePoint now) const override;
    quarantine::CrashGuard& crashes() override { return m_crashes; }

private:
    struct Attempt {
        TargetLife target;
        std::uint32_t tokensToRead = 0;
        std::uint32_t memoryTokens = 0;
        TimePoint placedAt;
        Duration predictedFirst {};
        bool hasFirst = false;
        quarantine::RequestKey key = 0;
    };

    /// A target that may take the request, and what speaks for it.
    struct Candidate {
        TargetModel* model = nullptr;
        std::uint32_t tokensToRead = 0;
        Duration predictedFirst {};
        double cost = 0;
        Admission admission;
    };

    /// @return whether the target neither leaves nor pauses.
    bool takesRequests(TimePoint now, const TargetLife&, const TargetModel&) const;

    /// @return when the first of the service's targets takes requests again; absent if one does now, or none will.
    std::optional<TimePoint> allPausedUntil(TimePoint now, const ServiceId&) const;

    /// Turns away a request for which no target was found. @param otherwise when to come back if they don't all pause.
    Refusal refuseUnplaced(TimePoint now, const ServiceId&, Duration otherwise);

    /// @param isPicky without those that were tried or are avoided.
    std::vector<TargetModel*> usableTargets(TimePoint now, const Demand&, bool isPicky) const;

    /// @param homeRank see HomeOrder.
    bool isConsidered(const TargetModel&, const Demand&, const std::vector<PrefixKey>&,
        std::optional<unsigned> homeRank, double sampledPart);
    std::optional<Candidate> choose(TimePoint now, const Demand&, const std::vector<PrefixKey>&);
    Candidate weigh(TimePoint now, TargetModel&, const Demand&, const std::vector<PrefixKey>&,
        std::optional<unsigned> homeRank) const;
    /// Notes in the candidate by what the request was let in. @return why it is turned away.
    std::optional<Refusal> admit(TimePoint now, const Demand&, Candidate&);
    double waitLimit(double share) const;

    /// Fills in how long the request may wait for others. @param own what it takes by itself.
    void allowWait(Admission&, const Demand&, Duration own, const SizeBalance&) const;
    bool isTrusting(TimePoint now) const { return m_trustUntil && now < *m_trustUntil; }

    /// A shared prompt was placed by any router: what its homes keep is known from now on.
    void heardOf(TimePoint now, std::uint64_t prefix);

    /// @return whether the prompt's homes are taken to keep a part of it, though nobody told so.
    bool isTrusted(TimePoint now, const std::vector<PrefixKey>&) const;
    double homeBonusMs(const PromptSize&, const std::vector<PrefixKey>&) const;
    double zoneCostMs(const Demand&) const;
    /// @return a refusal if targets end when they run the request.
    std::optional<Refusal> admitByCrashes(TimePoint now, quarantine::RequestKey);

    /// Looks which targets ended without having said that they leave.
    void noteLostTargets(TimePoint now, const std::vector<Target>&, const std::set<TargetLife>& present);

    /// @param isListed the target is known and does not leave: it may be found to have ended.
    void noteEnd(TimePoint now, const Attempt&, bool isListed, AttemptEnd);
    Refusal refuse(RefusalReason, Duration comeBack, const Admission& = {});
    Placement commit(TimePoint now, const Demand&, const Candidate&, const std::vector<PrefixKey>&);
    void notePlaced(TimePoint now, TargetKey, const std::vector<PrefixKey>&);
    double windowCapacity() const;
    RetryWindow& retries(const ServiceId&);
    TargetModel* find(const TargetLife&) const;

    /// @return the mean speed of the service's targets.
    TargetSpeed typicalSpeed(const ServiceId&) const;

    const DispatchSettings m_settings;
    const ZoneId m_ownZone;
    SeededRandom m_random;
    std::shared_ptr<const RoutingTable> m_table;
    std::map<TargetLife, std::unique_ptr<TargetModel>> m_targets;
    std::set<TargetLife> m_listed; ///< In the last list.
    std::unordered_map<AttemptId, Attempt> m_attempts;
    BackoffTable m_backoffs;
    std::map<ServiceId, RetryWindow> m_retries;
    CustomerShares m_shares;
    quarantine::CrashGuard m_crashes;

    std::map<ServiceId, KindBalance> m_kinds; ///< Over the requests of customers that near their share.

    /// By route, and whether the customer is above its share: what the others' large requests get must not be measured
    /// by how long they themselves may wait.
    std::map<std::pair<std::string, bool>, SizeBalance> m_sizes;

    std::map<TargetKey, PlacedPrompts> m_placed; ///< Since the last report.
    std::map<TargetKey, PlacedPrompts> m_placedBefore; ///< In the last one; told again, as it may be lost.
    std::optional<TimePoint> m_trustUntil; ///< See DispatchSettings::homesTrusted.
    std::unordered_set<std::uint64_t> m_heardOf; ///< Placed by any router, while homes are trusted.
    AttemptId m_lastAttempt = 0;
    std::uint64_t m_reportSerial = 0;
    unsigned m_routers = 1;
    unsigned m_mostRouters = 1; ///< At once, in this life.
};

} // namespace sagechute::dispatch
