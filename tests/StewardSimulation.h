#pragma once

#include "FaultyLog.h"

#include <sagechute/Steward.h>

#include <array>

namespace sagechute::steward {

using namespace std::chrono_literals;

/// A simulated model engine that handles orders.
struct FakeEngine {
    bool checksFencing = false;
    ObservedState state;
    ObservedState loadResult; ///< The model and version that the load in progress will result in.
    TimePoint loadDoneAt {};

    OrderAnswer handleOrder(const SendOrder& order, TimePoint now)
    {
        if (checksFencing && order.fencing < state.fencing)
            return OrderAnswer::Superseded;
        state.fencing = order.fencing;
        if (order.kind == OrderKind::Role) {
            state.role = order.role;
            return OrderAnswer::Accepted;
        }
        state.loading = true;
        loadResult.model = order.model;
        loadResult.version = order.version;
        loadDoneAt = now + 2s;
        return OrderAnswer::Accepted;
    }

    void advance(TimePoint now)
    {
        if (!state.loading || now < loadDoneAt)
            return;
        state.loading = false;
        state.model = loadResult.model;
        state.version = loadResult.version;
    }

    bool serves() const { return !state.loading && !state.model.empty(); }
};

/// Simulates several stewards, one log and some engines on a virtual clock. A paused steward keeps its next, already
/// chosen action and performs it when it resumes.
class StewardSimulation {
public:
    explicit StewardSimulation(std::size_t stewardCount)
    {
        for (std::size_t i = 0; i < stewardCount; ++i) {
            m_stewards.push_back({ LeaseContender::make("s" + std::to_string(i), {}), TargetOrders::make(settings()) });
        }
    }

    void addEngine(const std::string& name, const std::string& pool, bool checksFencing)
    {
        config::Target target;
        target.name = { name };
        target.pool = { pool };
        target.address = name;
        target.checksFencing = checksFencing;
        target.model = "m";
        target.version = "1";
        view.targets.push_back(target);
        FakeEngine& engine = engines[name];
        engine.checksFencing = checksFencing;
        engine.state.model = "m";
        engine.state.version = "1";
        configure();
    }

    void setDesiredVersion(const std::string& version)
    {
        for (config::Target& target : view.targets)
            target.version = version;
        configure();
    }

    void configure()
    {
        for (Steward& steward : m_stewards)
            steward.orders->configure(view, now);
    }

    void run(Duration time)
    {
        for (const TimePoint end = now + time; now < end; now += 100ms)
            step();
    }

    void pause(std::size_t index, Duration time) { m_stewards[index].pausedUntil = now + time; }

    /// Delays the orders of a steward's next tick by @p delay, which simulates a pause between the lease check and the
    /// send.
    void delayNextOrders(std::size_t index, Duration delay) { m_stewards[index].nextOrderDelay = delay; }

    std::optional<std::size_t> holder() const
    {
        for (std::size_t i = 0; i < m_stewards.size(); ++i) {
            if (m_stewards[i].contender->held(now))
                return i;
        }
        return std::nullopt;
    }

    std::size_t holderCount() const
    {
        std::size_t n = 0;
        for (const Steward& steward : m_stewards)
            n += steward.contender->held(now) ? 1 : 0;
        return n;
    }

    std::size_t serving(const std::string& pool) const
    {
        std::size_t n = 0;
        for (const config::Target& target : view.targets)
            n += target.pool.value == pool && engines.at(target.name.value).serves() ? 1 : 0;
        return n;
    }

    bool allServeVersion(const std::string& version) const
    {
        return std::all_of(engines.begin(), engines.end(),
            [&](const auto& entry) { return entry.second.serves() && entry.second.state.version == version; });
    }

    LeaseContender& contender(std::size_t index) { return *m_stewards[index].contender; }
    TargetOrders& orders(std::size_t index) { return *m_stewards[index].orders; }

    TimePoint now { 1h };
    config::FaultyLog log;
    config::ConfigView view;
    std::map<std::string, FakeEngine> engines;
    std::function<void()> onStep = [] {};
    std::function<void(std::size_t index, const SendOrder&, OrderAnswer)> onOrder
        = [](std::size_t, const SendOrder&, OrderAnswer) {};
    std::size_t maxHolders = 0;

private:
    struct Steward {
        std::unique_ptr<LeaseContender> contender;
        std::unique_ptr<TargetOrders> orders;
        TimePoint pausedUntil {};
        std::optional<LeaseAction> pendingAction {};
        Duration nextOrderDelay {};
    };

    struct DelayedOrder {
        std::size_t index = 0;
        SendOrder order;
        TimePoint at {};
    };

    static OrderSettings settings()
    {
        OrderSettings settings;
        settings.confirmTimeout = 3s;
        return settings;
    }

    void step()
    {
        for (auto& [name, engine] : engines)
            engine.advance(now);
        deliver();
        for (std::size_t i = 0; i < m_stewards.size(); ++i) {
            if (now >= m_stewards[i].pausedUntil)
                act(i);
        }
        maxHolders = std::max(maxHolders, holderCount());
        onStep();
    }

    void act(std::size_t index)
    {
        Steward& steward = m_stewards[index];
        // At most two lease actions per step: a pause may fall between any two actions, and between choosing an action
        // and performing it.
        for (int n = 0; n < 2; ++n) {
            if (!steward.pendingAction)
                steward.pendingAction = steward.contender->next(now);
            if (now < steward.pausedUntil)
                return;
            carryOut(steward, *std::exchange(steward.pendingAction, std::nullopt));
        }
        steward.pendingAction = steward.contender->next(now);
        for (const OrderAction& action : steward.orders->tick(steward.contender->held(now), now))
            std::visit([&](const auto& it) { handle(index, it); }, action);
        if (now < steward.pausedUntil)
            steward.nextOrderDelay = {};
    }

    void carryOut(Steward& steward, const LeaseAction& action)
    {
        if (action.type == LeaseAction::Type::Append) {
            if (log.append(config::leaseStream, action.record).ok())
                steward.contender->appended(now);
            else
                steward.contender->failed(now);
        }
        if (action.type != LeaseAction::Type::Read)
            return;
        const auto batch = log.read(config::leaseStream, action.from, 0ms);
        if (batch.ok())
            steward.contender->read(*batch, now);
        else
            steward.contender->failed(now);
    }

    void handle(std::size_t index, const ReadState& read)
    {
        m_stewards[index].orders->stateRead(read.target, read.number, engines.at(read.address).state, now);
    }

    void handle(std::size_t index, const RequestLoadGrant& request)
    {
        m_stewards[index].orders->loadGranted(request.target, now);
    }

    void handle(std::size_t index, const SendOrder& order)
    {
        const Duration delay = m_stewards[index].nextOrderDelay;
        m_delayedOrders.push_back({ index, order, now + delay });
        if (delay > Duration::zero())
            m_stewards[index].pausedUntil = now + delay;
        else
            deliver();
    }

    void deliver()
    {
        std::vector<DelayedOrder> due;
        std::erase_if(m_delayedOrders, [&](const DelayedOrder& delayed) {
            if (delayed.at > now)
                return false;
            due.push_back(delayed);
            return true;
        });
        for (const DelayedOrder& delayed : due) {
            const OrderAnswer answer = engines.at(delayed.order.address).handleOrder(delayed.order, now);
            onOrder(delayed.index, delayed.order, answer);
            m_stewards[delayed.index].orders->orderAnswered(delayed.order.target, answer, now);
        }
    }

    std::vector<Steward> m_stewards;
    std::vector<DelayedOrder> m_delayedOrders;
};

} // namespace sagechute::steward
