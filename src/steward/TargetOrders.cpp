#include "steward/OrderedTarget.h"

#include <algorithm>

namespace sagechute::steward {
namespace {

    /// Distance to the end of the lease and to a former holder's last request: a message's delay beside the request's
    /// own limit.
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
                declare(target, declared);
                noteNeed(target, now);
                targets.emplace(declared.name, std::move(target));
            }
            m_targets = std::move(targets);
        }

        void stateRead(const TargetId& name, std::uint64_t number, const std::optional<ObservedState>& state,
            TimePoint now) override
        {
            OrderedTarget* target = find(name);
            // An answer to a read that went out before the latest order may tell of the time before it.
            if (!target || target->reading != number)
                return;
            target->reading = 0;
            if (!state)
                return;
            target->observed = *state;
            target->observedAt = now;
            noteNeed(*target, now);
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
            m_askAgainAt = std::max(m_askAgainAt, now + wait);
            OrderedTarget* target = find(name);
            if (target && target->phase == OrderPhase::Asking)
                target->phase = OrderPhase::Idle;
        }

        void orderAnswered(const TargetId& name, OrderAnswer answer, TimePoint now) override
        {
            OrderedTarget* target = find(name);
            if (!target || target->phase != OrderPhase::Ordering)
                return;
            target->readAt = now;
            if (answer == OrderAnswer::Accepted) {
                target->phase = OrderPhase::Confirming;
                target->orderedAt = now;
                return;
            }
            m_counts.superseded += answer == OrderAnswer::Superseded ? 1 : 0;
            m_counts.failed += answer == OrderAnswer::Failed ? 1 : 0;
            target->forgetOrder();
            target->notBefore = now + m_settings.retryAfter;
        }

        std::vector<OrderAction> tick(const std::optional<LeaseHold>& hold, TimePoint now) override
        {
            followLease(hold, now);
            std::vector<OrderAction> actions;
            if (!hold)
                return actions;
            addReads(now, actions);
            addOrders(*hold, now, actions);
            return actions;
        }

        std::vector<TargetProgress> progress(TimePoint now) const override
        {
            std::vector<TargetProgress> list;
            for (const auto& [name, target] : m_targets) {
                const bool isKnown = target.isKnown(now, m_settings.stateKeep);
                list.push_back({ name, isKnown, isKnown && !target.need() && !target.observed->loading,
                    std::string(toString(target.phase)), target.waitsFor });
            }
            return list;
        }

        OrderCounts counts() const override { return m_counts; }

    private:
        /// Targets beside ordered ones are watched too: whether the rest of a pool serves decides what may be ordered.
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

        static void noteNeed(OrderedTarget& target, TimePoint now)
        {
            if (!target.need())
                target.differsSince = {};
            else if (target.differsSince == TimePoint {})
                target.differsSince = now;
        }

        void confirm(OrderedTarget& target, TimePoint now)
        {
            const std::optional<OrderKind> need = target.need();
            if (target.observed->loading)
                return;
            if (!need || *need != target.ordering) {
                target.phase = OrderPhase::Idle;
                return;
            }
            if (now - target.orderedAt < m_settings.settle)
                return;
            // The order was accepted, and yet the target has something else: an engine that ignores the fencing number
            // took a later order of a former holder that had been paused. The pause cannot be seen beforehand, its
            // effect can: order again.
            ++m_counts.repeated;
            target.phase = OrderPhase::Idle;
        }

        void followLease(const std::optional<LeaseHold>& hold, TimePoint now)
        {
            const LogOffset fencing = hold ? hold->fencing : 0;
            if (fencing == m_fencing)
                return;
            m_fencing = fencing;
            m_heldSince = now;
            for (auto& [name, target] : m_targets) {
                target.forgetOrder();
                target.reading = 0;
                target.notBefore = {};
                target.waitsFor.clear();
            }
        }

        /// The next target waits for this one while an order takes effect.
        Duration readInterval(const OrderedTarget& target) const
        {
            return target.phase == OrderPhase::Confirming ? m_settings.stateEvery / 4 : m_settings.stateEvery;
        }

        void addReads(TimePoint now, std::vector<OrderAction>& actions)
        {
            for (auto& [name, target] : m_targets) {
                if (target.reading != 0 || now < target.readAt || target.phase == OrderPhase::Ordering)
                    continue;
                target.reading = ++m_lastRead;
                target.readAt = now + readInterval(target);
                actions.push_back(ReadState { name, target.address, target.reading });
            }
        }

        /// Those whose pool has lost most come first, then those that have waited longest.
        std::vector<OrderedTarget*> byNeed(TimePoint now)
        {
            struct Candidate {
                OrderedTarget* target;
                double serving;
            };
            std::vector<Candidate> candidates;
            for (auto& [name, target] : m_targets) {
                const bool isReady = target.phase == OrderPhase::Idle || target.phase == OrderPhase::Granted;
                if (isReady && target.isKnown(now, m_settings.stateKeep) && target.need() && !target.observed->loading)
                    candidates.push_back({ &target, servingPart(target.pool, now) });
                else if (target.phase == OrderPhase::Idle)
                    target.waitsFor = target.need() || target.observed ? "" : "its state is not known";
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
            std::size_t declared = 0; ///< Those that are to serve.
            std::size_t serving = 0;
        };

        PoolCount countPool(const PoolId& pool, TimePoint now) const
        {
            PoolCount count;
            for (const auto& [name, target] : m_targets) {
                if (target.pool != pool)
                    continue;
                count.declared += target.leaving ? 0 : 1;
                count.serving += target.serves(now, m_settings.stateKeep) ? 1 : 0;
            }
            return count;
        }

        double servingPart(const PoolId& pool, TimePoint now) const
        {
            const PoolCount count = countPool(pool, now);
            return count.declared ? static_cast<double>(count.serving) / static_cast<double>(count.declared) : 1;
        }

        /// @return why the target may not be taken out of service now; empty when it may.
        std::string poolNeedsIt(const OrderedTarget& target, TimePoint now) const
        {
            if (!target.serves(now, m_settings.stateKeep))
                return "";
            const PoolCount count = countPool(target.pool, now);
            const auto part = static_cast<std::size_t>(static_cast<double>(count.declared) * m_settings.partAtOnce);
            const std::size_t atOnce = std::max<std::size_t>(part, 1);
            const std::size_t mustServe = std::max<std::size_t>(count.declared - std::min(atOnce, count.declared), 1);
            if (count.serving > mustServe)
                return "";
            if (count.serving == 1 && count.declared == 1)
                return "it is the only target of its pool: add another, or set its state to leaving";
            return "too few others of its pool serve";
        }

        std::size_t loadsUnderWay() const
        {
            return static_cast<std::size_t>(std::count_if(m_targets.begin(), m_targets.end(), [](const auto& entry) {
                const OrderedTarget& target = entry.second;
                const bool isOrdered = target.phase != OrderPhase::Idle && target.ordering != OrderKind::Role;
                return isOrdered || (target.observed && target.observed->loading);
            }));
        }

        /// @return what keeps an order from being sent now; empty when nothing does.
        std::string obstacle(const OrderedTarget& target, const LeaseHold& hold, TimePoint now) const
        {
            if (now < target.notBefore)
                return "an order failed, it is tried again shortly";
            if (now > lastMoment(hold))
                return "the lease is too near its end";
            // Such a target would also take an order that the former holder sent just before its lease ended.
            if (!target.checksFencing && now < m_heldSince + m_settings.orderTimeout + requestSlack)
                return "orders of the former lease holder may still be under way";
            if (target.phase == OrderPhase::Granted)
                return "";
            if (*target.need() != OrderKind::Role && loadsUnderWay() >= m_settings.loadsAtOnce)
                return "other loads come first";
            return poolNeedsIt(target, now);
        }

        TimePoint lastMoment(const LeaseHold& hold) const
        {
            return hold.until - m_settings.orderTimeout - requestSlack;
        }

        void addOrders(const LeaseHold& hold, TimePoint now, std::vector<OrderAction>& actions)
        {
            bool isAsking = std::any_of(m_targets.begin(), m_targets.end(),
                [](const auto& entry) { return entry.second.phase == OrderPhase::Asking; });
            for (OrderedTarget* target : byNeed(now)) {
                target->waitsFor = obstacle(*target, hold, now);
                if (!target->waitsFor.empty())
                    continue;
                target->ordering = *target->need();
                if (!needsGrant(*target)) {
                    actions.push_back(order(*target, hold));
                    continue;
                }
                // One question at a time: with several, the store's answers and not the need would decide who comes
                // first.
                if (isAsking || now < m_askAgainAt) {
                    target->waitsFor = "the weight store";
                    continue;
                }
                isAsking = true;
                target->phase = OrderPhase::Asking;
                actions.push_back(AskLoad { target->name, target->wanted.model, target->wanted.version });
            }
        }

        bool needsGrant(const OrderedTarget& target) const
        {
            return m_settings.asksWeightStore && target.ordering != OrderKind::Role
                && target.phase != OrderPhase::Granted;
        }

        SendOrder order(OrderedTarget& target, const LeaseHold& hold)
        {
            ++m_counts.sent;
            target.phase = OrderPhase::Ordering;
            target.reading = 0;
            const bool isRole = target.ordering == OrderKind::Role;
            return { target.name, target.address, target.ordering, hold.fencing, isRole ? "" : target.wanted.model,
                isRole ? "" : target.wanted.version, isRole ? target.wanted.role : "", lastMoment(hold) };
        }

        const OrderSettings m_settings;
        std::map<TargetId, OrderedTarget> m_targets;
        std::uint64_t m_lastRead = 0;
        LogOffset m_fencing = 0;
        TimePoint m_heldSince {};
        TimePoint m_askAgainAt {};
        OrderCounts m_counts;
    };

} // namespace

std::unique_ptr<TargetOrders> TargetOrders::make(const OrderSettings& settings)
{
    return std::make_unique<Orders>(settings);
}

} // namespace sagechute::steward
