#include "steward/OrderedTarget.h"

#include <algorithm>

namespace sagechute::steward {
namespace {

    /// Allowance for message delay on top of the request timeout. Separates the last order from the end of the lease,
    /// and the first order from the last request of a previous holder.
    constexpr Duration requestSlack = std::chrono::milliseconds(500);

    class Orders final : public TargetOrders {
    public:
        explicit Orders(const OrderSettings& settings)
            : m_settings(settings)
        {
        }

        void configure(const config::ConfigView& view, TimePoint now) override
        {
            const std::set<PoolId> pools = orderedPools(view);
            std::map<TargetId, OrderedTarget> targets;
            for (const config::Target& declared : view.targets) {
                if (!pools.contains(declared.pool))
                    continue;
                const auto it = m_targets.find(declared.name);
                OrderedTarget target = it == m_targets.end() ? OrderedTarget {} : std::move(it->second);
                applyDeclaration(target, declared);
                updateDiffersSince(target, now);
                targets.emplace(declared.name, std::move(target));
            }
            m_targets = std::move(targets);
        }

        void stateRead(const TargetId& name, std::uint64_t number, const std::optional<ObservedState>& state,
            TimePoint now) override
        {
            OrderedTarget* target = find(name);
            // The result of a read that started before the latest order may describe the state before that order.
            if (!target || target->pendingRead != number)
                return;
            target->pendingRead = 0;
            if (!state)
                return;
            target->observed = *state;
            target->observedAt = now;
            updateDiffersSince(*target, now);
            if (target->phase == OrderPhase::Confirming)
                confirm(*target, now);
        }

        void loadGranted(const TargetId& name, TimePoint) override
        {
            OrderedTarget* target = find(name);
            if (target && target->phase == OrderPhase::Asking)
                target->phase = OrderPhase::Granted;
        }

        void loadRefused(const TargetId& name, Duration wait, TimePoint now) override
        {
            ++m_counts.loadsRefused;
            m_nextGrantRequestAt = std::max(m_nextGrantRequestAt, now + wait);
            OrderedTarget* target = find(name);
            if (target && target->phase == OrderPhase::Asking)
                target->phase = OrderPhase::Idle;
        }

        void orderAnswered(const TargetId& name, OrderAnswer answer, TimePoint now) override
        {
            OrderedTarget* target = find(name);
            if (!target || target->phase != OrderPhase::Ordering)
                return;
            target->nextReadAt = now;
            if (answer == OrderAnswer::Accepted) {
                target->phase = OrderPhase::Confirming;
                target->orderedAt = now;
                return;
            }
            m_counts.superseded += answer == OrderAnswer::Superseded ? 1 : 0;
            m_counts.failed += answer == OrderAnswer::Failed ? 1 : 0;
            target->resetOrder();
            target->notBefore = now + m_settings.retryAfter;
        }

        std::vector<OrderAction> tick(const std::optional<HeldLease>& hold, TimePoint now) override
        {
            updateLease(hold, now);
            std::vector<OrderAction> actions;
            if (!hold)
                return actions;
            addStateReads(now, actions);
            addOrders(*hold, now, actions);
            return actions;
        }

        std::vector<TargetProgress> progress(TimePoint now) const override
        {
            std::vector<TargetProgress> list;
            for (const auto& [name, target] : m_targets) {
                const bool isStateFresh = target.isStateFresh(now, m_settings.stateMaxAge);
                list.push_back(
                    { name, isStateFresh, isStateFresh && !target.requiredOrder() && !target.observed->loading,
                        std::string(toString(target.phase)), target.blockedReason });
            }
            return list;
        }

        OrderCounts counts() const override { return m_counts; }

    private:
        /// @return the pools with at least one managed target. All targets of such a pool are monitored, because an
        /// order is only allowed if enough of the other targets in the pool are serving.
        static std::set<PoolId> orderedPools(const config::ConfigView& view)
        {
            std::set<PoolId> pools;
            for (const config::Target& target : view.targets) {
                if (!target.model.empty() || !target.role.empty())
                    pools.insert(target.pool);
            }
            return pools;
        }

        OrderedTarget* find(const TargetId& name)
        {
            const auto it = m_targets.find(name);
            return it == m_targets.end() ? nullptr : &it->second;
        }

        static void updateDiffersSince(OrderedTarget& target, TimePoint now)
        {
            if (!target.requiredOrder())
                target.differsSince = {};
            else if (target.differsSince == TimePoint {})
                target.differsSince = now;
        }

        void confirm(OrderedTarget& target, TimePoint now)
        {
            const std::optional<OrderKind> requiredOrder = target.requiredOrder();
            if (target.observed->loading)
                return;
            if (!requiredOrder || *requiredOrder != target.orderKind) {
                target.phase = OrderPhase::Idle;
                return;
            }
            if (now - target.orderedAt < m_settings.confirmTimeout)
                return;
            // The target accepted the order but reports a different state: an engine that ignores fencing numbers took
            // a later order from a previous holder that had been paused. Such a pause cannot be detected in advance,
            // but its effect can, so send the order again.
            ++m_counts.repeated;
            target.phase = OrderPhase::Idle;
        }

        void updateLease(const std::optional<HeldLease>& hold, TimePoint now)
        {
            const LogOffset fencing = hold ? hold->fencing : 0;
            if (fencing == m_fencing)
                return;
            m_fencing = fencing;
            m_heldSince = now;
            for (auto& [name, target] : m_targets) {
                target.resetOrder();
                target.pendingRead = 0;
                target.notBefore = {};
                target.blockedReason.clear();
            }
        }

        /// Reads four times as often while an order takes effect, because the next target waits for it.
        Duration readInterval(const OrderedTarget& target) const
        {
            return target.phase == OrderPhase::Confirming ? m_settings.stateReadInterval / 4
                                                          : m_settings.stateReadInterval;
        }

        void addStateReads(TimePoint now, std::vector<OrderAction>& actions)
        {
            for (auto& [name, target] : m_targets) {
                if (target.pendingRead != 0 || now < target.nextReadAt || target.phase == OrderPhase::Ordering)
                    continue;
                target.pendingRead = ++m_lastRead;
                target.nextReadAt = now + readInterval(target);
                actions.push_back(ReadState { name, target.address, target.pendingRead });
            }
        }

        /// @return targets that need an order: those in the pool with the lowest fraction of serving targets first,
        /// then those whose state has differed longest.
        std::vector<OrderedTarget*> targetsByPriority(TimePoint now)
        {
            struct Candidate {
                OrderedTarget* target;
                double serving;
            };
            std::vector<Candidate> candidates;
            for (auto& [name, target] : m_targets) {
                const bool isReady = target.phase == OrderPhase::Idle || target.phase == OrderPhase::Granted;
                if (isReady && target.isStateFresh(now, m_settings.stateMaxAge) && target.requiredOrder()
                    && !target.observed->loading)
                    candidates.push_back({ &target, servingFraction(target.pool, now) });
                else if (target.phase == OrderPhase::Idle)
                    target.blockedReason = target.requiredOrder() || target.observed
                        ? ""
                        : "no recent state has been read from the target";
            }
            std::stable_sort(candidates.begin(), candidates.end(), [](const Candidate& left, const Candidate& right) {
                if (left.serving != right.serving)
                    return left.serving < right.serving;
                return left.target->differsSince < right.target->differsSince;
            });
            std::vector<OrderedTarget*> targets;
            targets.reserve(candidates.size());
            for (const Candidate& candidate : candidates)
                targets.push_back(candidate.target);
            return targets;
        }

        struct PoolCount {
            std::size_t declared = 0; ///< Targets of the pool that are not leaving.
            std::size_t serving = 0;
        };

        PoolCount countPool(const PoolId& pool, TimePoint now) const
        {
            PoolCount count;
            for (const auto& [name, target] : m_targets) {
                if (target.pool != pool)
                    continue;
                count.declared += target.leaving ? 0 : 1;
                count.serving += target.serves(now, m_settings.stateMaxAge) ? 1 : 0;
            }
            return count;
        }

        double servingFraction(const PoolId& pool, TimePoint now) const
        {
            const PoolCount count = countPool(pool, now);
            return count.declared ? static_cast<double>(count.serving) / static_cast<double>(count.declared) : 1;
        }

        /// @return why the target may not be taken out of service now; empty if it may.
        std::string poolObstacle(const OrderedTarget& target, TimePoint now) const
        {
            if (!target.serves(now, m_settings.stateMaxAge))
                return "";
            const PoolCount count = countPool(target.pool, now);
            const auto unavailableShare
                = static_cast<std::size_t>(static_cast<double>(count.declared) * m_settings.maxUnavailableFraction);
            const std::size_t maxUnavailable = std::max<std::size_t>(unavailableShare, 1);
            const std::size_t minServing
                = std::max<std::size_t>(count.declared - std::min(maxUnavailable, count.declared), 1);
            if (count.serving > minServing)
                return "";
            if (count.serving == 1 && count.declared == 1)
                return "it is the only target of its pool: add another, or set its state to leaving";
            return "too few other targets of its pool are serving";
        }

        std::size_t loadsInProgress() const
        {
            return static_cast<std::size_t>(std::count_if(m_targets.begin(), m_targets.end(), [](const auto& entry) {
                const OrderedTarget& target = entry.second;
                const bool isOrdered = target.phase != OrderPhase::Idle && target.orderKind != OrderKind::Role;
                return isOrdered || (target.observed && target.observed->loading);
            }));
        }

        /// @return why an order cannot be sent now; empty if it can.
        std::string obstacle(const OrderedTarget& target, const HeldLease& hold, TimePoint now) const
        {
            if (now < target.notBefore)
                return "the previous order failed; waiting to retry";
            if (now > latestSendTime(hold))
                return "the lease expires too soon to send an order";
            // A target that ignores fencing numbers would also accept an order that the previous holder sent just
            // before its lease ended.
            if (!target.checksFencing && now < m_heldSince + m_settings.orderTimeout + requestSlack)
                return "orders of the previous lease holder may still be in flight";
            if (target.phase == OrderPhase::Granted)
                return "";
            if (*target.requiredOrder() != OrderKind::Role && loadsInProgress() >= m_settings.maxConcurrentLoads)
                return "the limit of concurrent loads is reached";
            return poolObstacle(target, now);
        }

        TimePoint latestSendTime(const HeldLease& hold) const
        {
            return hold.validUntil - m_settings.orderTimeout - requestSlack;
        }

        void addOrders(const HeldLease& hold, TimePoint now, std::vector<OrderAction>& actions)
        {
            bool isGrantRequested = std::any_of(m_targets.begin(), m_targets.end(),
                [](const auto& entry) { return entry.second.phase == OrderPhase::Asking; });
            for (OrderedTarget* target : targetsByPriority(now)) {
                target->blockedReason = obstacle(*target, hold, now);
                if (!target->blockedReason.empty())
                    continue;
                target->orderKind = *target->requiredOrder();
                if (!needsGrant(*target)) {
                    actions.push_back(makeOrder(*target, hold));
                    continue;
                }
                // Only one grant request at a time: with several outstanding, the order of the store's answers rather
                // than the priority would decide which target loads first.
                if (isGrantRequested || now < m_nextGrantRequestAt) {
                    target->blockedReason = "waiting for a load grant from the weight store";
                    continue;
                }
                isGrantRequested = true;
                target->phase = OrderPhase::Asking;
                actions.push_back(RequestLoadGrant { target->name, target->desired.model, target->desired.version });
            }
        }

        bool needsGrant(const OrderedTarget& target) const
        {
            return m_settings.asksWeightStore && target.orderKind != OrderKind::Role
                && target.phase != OrderPhase::Granted;
        }

        SendOrder makeOrder(OrderedTarget& target, const HeldLease& hold)
        {
            ++m_counts.sent;
            target.phase = OrderPhase::Ordering;
            target.pendingRead = 0;
            const bool isRole = target.orderKind == OrderKind::Role;
            return { target.name, target.address, target.orderKind, hold.fencing, isRole ? "" : target.desired.model,
                isRole ? "" : target.desired.version, isRole ? target.desired.role : "", latestSendTime(hold) };
        }

        const OrderSettings m_settings;
        std::map<TargetId, OrderedTarget> m_targets;
        std::uint64_t m_lastRead = 0;
        LogOffset m_fencing = 0;
        TimePoint m_heldSince {};
        TimePoint m_nextGrantRequestAt {};
        OrderCounts m_counts;
    };

} // namespace

std::unique_ptr<TargetOrders> TargetOrders::make(const OrderSettings& settings)
{
    return std::make_unique<Orders>(settings);
}

} // namespace sagechute::steward
