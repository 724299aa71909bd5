#pragma once

#include "dispatch/BackoffTable.h"
#include "dispatch/ColdAllowance.h"
#include "dispatch/ColdTargets.h"
#include "dispatch/CustomerShares.h"
#include "dispatch/HomeOrder.h"
#include "dispatch/KindBalance.h"
#include "dispatch/PromptDemand.h"
#include "dispatch/RetryWindow.h"
#include "dispatch/SizeBalance.h"
#include "dispatch/TargetModel.h"

#include <unordered_set>

namespace sagechute::dispatch {

/// Dispatcher that keeps a TargetModel per target incarnation.
class LocalDispatcher final : public Dispatcher {
public:
    LocalDispatcher(const DispatchSettings&, ZoneId ownZone, std::uint64_t seed);

    void setConfig(std::shared_ptr<const RoutingTable>) override;
    void setTargets(TimePoint now, const std::vector<Target>&) override;
    Decision place(TimePoint now, const PlacementRequest&, AttemptKind) override;
    void shed(TimePoint now, const CustomerId&, const PromptSize&) override;
    void firstAnswer(TimePoint now, AttemptId) override;
    void ended(TimePoint now, AttemptId, AttemptEnd) override;
    bool backOff(TimePoint now, const TargetIncarnation&, Duration) override;
    bool setCold(TimePoint now, const TargetIncarnation&, Duration left) override;
    std::vector<ColdTarget> coldTargets(TimePoint now) const override;
    std::uint64_t coldPlacements() const override { return m_coldPlacements; }
    void observeLoad(TimePoint now, const TargetIncarnation&, const InstanceLoad&) override;
    std::vector<TargetReading> loadReadings(TimePoint now) const override;
    void setEvacuatedZones(TimePoint now, const std::set<ZoneId>&) override;
    void setRouters(TimePoint now, const std::vector<VmId>& heard, const std::vector<VmId>& left) override;
    bool maySend(TimePoint now, const TargetIncarnation&) const override;
    Refusal giveUp(TimePoint now, const ServiceId&) override;
    LoadReport report(TimePoint now) override;
    void peerReported(TimePoint now, const VmId& peer, const LoadReport&) override;
    void setRouterCount(unsigned n) override;
    bool hasTargets() const override;
    FairShareSnapshot shares(TimePoint now) const override;
    quarantine::CrashGuard& crashes() override { return m_crashes; }

private:
    struct Attempt {
        TargetIncarnation target;
        std::uint32_t prefillTokens = 0;
        std::uint32_t reservedTokens = 0;
        TimePoint placedAt;
        Duration predictedFirstEventDelay {};
        bool hasFirstAnswer = false;
        quarantine::RequestKey key = 0;
    };

    /// A target that can take the request, with its cost.
    struct Candidate {
        TargetModel* model = nullptr;
        std::uint32_t prefillTokens = 0;
        Duration predictedFirstEventDelay {};
        double cost = 0;
        Admission admission;
        std::uint32_t sharedPrefillTokens = 0;
        unsigned homes = 0;
        bool isAtHome = false;
    };

    /// @return whether the target is neither draining nor in a backoff pause, and its zone is not evacuated.
    bool takesRequests(TimePoint now, const TargetIncarnation&, const TargetModel&) const;

    bool isEvacuated(const TargetModel& model) const { return m_evacuatedZones.contains(model.target().zone); }

    /// @return whether the service has targets that are not draining, and all of them are in evacuated zones.
    bool areAllEvacuated(const ServiceId&) const;

    const Service* serviceOf(const TargetModel&) const;

    /// @return until when the target is cold; absent if it is warm.
    std::optional<TimePoint> coldUntil(TimePoint now, const TargetModel&) const;
    unsigned coldSlots(const Service&) const;

    /// @return the service if it limits the requests to its cold targets; otherwise null.
    const Service* serviceWithColdRate(const ServiceId&) const;

    /// @return the first time at which this router may send the target a request, as far as its cold time matters; now
    ///         if it is warm.
    TimePoint freeAt(TimePoint now, const TargetModel&, const Service&) const;

    /// Uses a slot of a target if it is cold.
    void countColdPlacement(TimePoint now, const TargetModel&);

    /// @return when this router may send a request to the first of the service's targets that take requests; absent if
    ///         that is now for one of them, there is none, or the service does not limit cold targets.
    std::optional<TimePoint> earliestColdSlot(TimePoint now, const ServiceId&) const;

    /// @return when the first of the service's targets outside evacuated zones ends its pause; absent if one of them is
    ///         not in a pause or there is none.
    std::optional<TimePoint> earliestPauseEnd(TimePoint now, const ServiceId&) const;

    /// Refuses a request for which no target was found.
    /// @param otherwise retry time if not all targets are in a pause.
    Refusal refuseUnplaced(TimePoint now, const ServiceId&, Duration otherwise);

    /// @param isFirstPass excludes targets that were tried or are avoided.
    std::vector<TargetModel*> usableTargets(TimePoint now, const PlacementRequest&, bool isFirstPass) const;

    /// @return whether the target is in this request's random sample or is always considered.
    bool isInSample(const TargetModel&, const PlacementRequest&, const std::vector<PrefixKey>&, const HomeOrder&,
        double sampleProbability);

    /// @return number of home targets that the demand for the prompt's shared parts needs.
    unsigned homeCount(TimePoint now, const std::vector<PrefixKey>&) const;

    /// @return whether load reports come over relays.
    bool isLargeFleet() const;
    std::optional<Candidate> choose(
        TimePoint now, const PlacementRequest&, const std::vector<PrefixKey>&, bool isHedge);

    /// @return the targets whose latest answers did not break off, if any of them has room; otherwise all. A random
    /// choice
    ///         would send more requests to a target that breaks them off than the retry budget can repair.
    static std::vector<TargetModel*> withoutDoubtful(TimePoint now, const std::vector<TargetModel*>& usable);

    /// Chooses at random by selectionWeight(), for services whose targets report their load.
    /// @return absent if no usable target of an application has a recent reading.
    std::optional<Candidate> chooseByReadings(
        TimePoint now, const PlacementRequest&, const std::vector<TargetModel*>& all);
    Candidate score(
        TimePoint now, TargetModel&, const PlacementRequest&, const std::vector<PrefixKey>&, const HomeOrder&) const;
    /// Admits or refuses the request and fills in the candidate's admission.
    /// @return the refusal; absent if the request is admitted.
    std::optional<Refusal> admit(TimePoint now, const PlacementRequest&, Candidate&);
    /// As admit(), for a hedge, or for a request that may have run, so that a refusal loses its answer. It has been
    /// admitted before, so its customer's share does not matter again. A hedge needs room at its target.
    std::optional<Refusal> admitAgain(TimePoint now, const PlacementRequest&, AttemptKind, Candidate&);
    double waitFactorForShare(double share) const;

    /// Sets the allowed queueing delay. @param ownDelay see TargetModel::ownDelay().
    void setAllowedWait(Admission&, const PlacementRequest&, Duration ownDelay, const SizeBalance&) const;
    bool isWarmStart(TimePoint now) const { return m_warmStartUntil && now < *m_warmStartUntil; }

    /// A router has placed a prompt with this prefix: whether its homes have it cached is known from now on.
    void markPrefixKnown(TimePoint now, std::uint64_t prefix);

    /// @return whether the prompt's home targets are assumed to have a part of it cached, although no router reported
    /// so.
    bool isAssumedCached(TimePoint now, const std::vector<PrefixKey>&) const;
    double homeBonusMs(const PromptSize&, const std::vector<PrefixKey>&) const;
    double zoneCostMs(const PlacementRequest&) const;
    /// @return a refusal if targets crash, or may have crashed, when they run the request.
    std::optional<Refusal> checkCrashGuard(TimePoint now, const PlacementRequest&, AttemptKind);

    /// As checkCrashGuard(), for the parts of the prompt.
    std::optional<Refusal> checkPartGuard(TimePoint now, const PlacementRequest&, AttemptKind);

    /// Detects targets that ended without draining first.
    void detectLostTargets(TimePoint now, const std::vector<Target>&, const std::set<TargetIncarnation>& present);

    /// @param isListed the target is known and not draining, so that its end can be detected.
    void recordEndForCrashGuard(TimePoint now, AttemptId, const Attempt&, bool isListed, AttemptEnd);
    Refusal refuse(RefusalReason, Duration retryAfter, const Admission& = {});
    Placement commit(TimePoint now, const PlacementRequest&, const Candidate&, const std::vector<PrefixKey>&);
    void recordPlacement(TimePoint now, TargetKey, const std::vector<PrefixKey>&);
    double windowCapacity() const;
    RetryWindow& retries(const ServiceId&);
    TargetModel* find(const TargetIncarnation&) const;

    /// @return mean speed of the service's targets.
    TargetSpeed meanSpeed(const ServiceId&) const;

    const DispatchSettings m_settings;
    const ZoneId m_ownZone;
    SeededRandom m_random;
    std::shared_ptr<const RoutingTable> m_table;
    std::map<TargetIncarnation, std::unique_ptr<TargetModel>> m_targets;
    std::set<TargetIncarnation> m_listedTargets; ///< As of the last setTargets().
    std::set<ZoneId> m_evacuatedZones;
    std::unordered_map<AttemptId, Attempt> m_attempts;
    BackoffTable m_backoffs;
    ColdTargets m_coldTargets;
    ColdAllowance m_coldAllowance;
    std::map<TargetIncarnation, std::uint64_t> m_sentCold; ///< Requests placed on targets while they were cold.
    std::uint64_t m_coldPlacements = 0;
    std::map<ServiceId, RetryWindow> m_retries;
    CustomerShares m_shares;
    quarantine::CrashGuard m_crashes;

    std::map<ServiceId, KindBalance> m_kindBalances; ///< Over requests of customers near or above their share.

    /// By route, and whether the customer is above its share. Separate, as customers below their share have a longer
    /// allowed wait, against which large requests of the others must not be measured.
    std::map<std::pair<std::string, bool>, SizeBalance> m_sizeBalances;

    std::map<TargetKey, PlacedPrompts> m_newlyPlaced; ///< Since the last report.
    std::map<TargetKey, PlacedPrompts> m_previouslyPlaced; ///< In the last report; sent again, as that may be lost.
    std::optional<TimePoint> m_warmStartUntil; ///< See DispatchSettings::warmStartDuration.
    PromptDemand m_promptDemand;
    std::unordered_set<std::uint64_t> m_knownPrefixes; ///< Placed by any router; only used during a warm start.
    AttemptId m_lastAttempt = 0;
    std::uint64_t m_reportSerial = 0;
    unsigned m_routerCount = 1;
    unsigned m_peakRouterCount = 1; ///< Maximum of m_routerCount since the start.
};

} // namespace sagechute::dispatch
