#pragma once

#include "FaultyLog.h"

#include <sagechute/Steward.h>

#include <array>

namespace sagechute::steward {

using namespace std::chrono_literals;

/// A model engine as far as orders go.
struct FakeEngine {
    bool checksFencing = false;
    ObservedState state;
    ObservedState loaded; ///< What the load under way brings.
    TimePoint loadedAt {};

    OrderAnswer take(const SendOrder& order, TimePoint now)
    {
        if (checksFencing && order.fencing < state.fencing)
            return OrderAnswer::Superseded;
        state.fencing = order.fencing;
        if (order.kind == OrderKind::Role) {
            state.role = order.role;
            return OrderAnswer::Accepted;
        }
        state.loading = true;
        loaded.model = order.model;
        loaded.version = order.version;
        loadedAt = now + 2s;
        return OrderAnswer::Accepted;
    }

    void advance(TimePoint now)
    {
        if (!state.loading || now < loadedAt)
            return;
        state.loading = false;
        state.model = loaded.model;
        state.version = loaded.version;
    }

    bool serves() const { return !state.loading && !state.model.empty(); }
};

/// Several stewards before one log and some engines, on one virtual clock. A paused steward keeps its next step in its
/// hand.
class StewardWorld {
public:
    explicit StewardWorld(std::size_t stewardCount)
    {
        for (std::size_t i = 0; i < stewardCount; ++i) {
            m_stewards.push_back({ LeaseKeeper::make("s" + std::to_string(i), {}), TargetOrders::make(settings()) });
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

    void want(const std::string& version)
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

    void pause(std::size_t who, Duration time) { m_stewards[who].pausedUntil = now + time; }

    /// The orders of a steward's next tick leave only after @p delay: a pause between the look at the lease and the
    /// send.
    void delayNextOrders(std::size_t who, Duration delay) { m_stewards[who].delayOfNext = delay; }

    std::optional<std::size_t> holder() const
    {
        for (std::size_t i = 0; i < m_stewards.size(); ++i) {
            if (m_stewards[i].keeper->held(now))
                return i;
        }
        return std::nullopt;
    }

    std::size_t holders() const
    {
        std::size_t n = 0;
        for (const Steward& steward : m_stewards)
            n += steward.keeper->held(now) ? 1 : 0;
        return n;
    }

    std::size_t serving(const std::string& pool) const
    {
        std::size_t n = 0;
        for (const config::Target& target : view.targets)
            n += target.pool.value == pool && engines.at(target.name.value).serves() ? 1 : 0;
        return n;
    }

    bool allHave(const std::string& version) const
    {
        return std::all_of(engines.begin(), engines.end(),
            [&](const auto& entry) { return entry.second.serves() && entry.second.state.version == version; });
    }

    LeaseKeeper& keeper(std::size_t who) { return *m_stewards[who].keeper; }
    TargetOrders& orders(std::size_t who) { return *m_stewards[who].orders; }

    TimePoint now { 1h };
    config::FaultyLog log;
    config::ConfigView view;
    std::map<std::string, FakeEngine> engines;
    std::function<void()> onStep = [] {};
    std::function<void(std::size_t who, const SendOrder&, OrderAnswer)> onOrder
        = [](std::size_t, const SendOrder&, OrderAnswer) {};
    std::size_t mostHolders = 0;

private:
    struct Steward {
        std::unique_ptr<LeaseKeeper> keeper;
        std::unique_ptr<TargetOrders> orders;
        TimePoint pausedUntil {};
        std::optional<LeaseAction> inHand {};
        Duration delayOfNext {};
    };

    struct Flight {
        std::size_t who = 0;
        SendOrder order;
        TimePoint at {};
    };

    static OrderSettings settings()
    {
        OrderSettings settings;
        settings.settle = 3s;
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
        mostHolders = std::max(mostHolders, holders());
        onStep();
    }

    void act(std::size_t who)
    {
        Steward& steward = m_stewards[who];
        // Two steps at most: a pause may fall between any two, and between an action's choice and its doing.
        for (int n = 0; n < 2; ++n) {
            if (!steward.inHand)
                steward.inHand = steward.keeper->next(now);
            if (now < steward.pausedUntil)
                return;
            carryOut(steward, *std::exchange(steward.inHand, std::nullopt));
        }
        steward.inHand = steward.keeper->next(now);
        for (const OrderAction& action : steward.orders->tick(steward.keeper->held(now), now))
            std::visit([&](const auto& it) { handle(who, it); }, action);
        if (now < steward.pausedUntil)
            steward.delayOfNext = {};
    }

    void carryOut(Steward& steward, const LeaseAction& action)
    {
        if (action.type == LeaseAction::Type::Append) {
            if (log.append(config::leaseStream, action.record).ok())
                steward.keeper->appended(now);
            else
                steward.keeper->failed(now);
        }
        if (action.type != LeaseAction::Type::Read)
            return;
        const auto batch = log.read(config::leaseStream, action.from, 0ms);
        if (batch.ok())
            steward.keeper->read(*batch, now);
        else
            steward.keeper->failed(now);
    }

    void handle(std::size_t who, const ReadState& read)
    {
        m_stewards[who].orders->stateRead(read.target, read.number, engines.at(read.address).state, now);
    }

    void handle(std::size_t who, const AskLoad& ask) { m_stewards[who].orders->loadGranted(ask.target, now); }

    void handle(std::size_t who, const SendOrder& order)
    {
        const Duration delay = m_stewards[who].delayOfNext;
        m_flights.push_back({ who, order, now + delay });
        if (delay > Duration::zero())
            m_stewards[who].pausedUntil = now + delay;
        else
            deliver();
    }

    void deliver()
    {
        std::vector<Flight> due;
        std::erase_if(m_flights, [&](const Flight& flight) {
            if (flight.at > now)
                return false;
            due.push_back(flight);
            return true;
        });
        for (const Flight& flight : due) {
            const OrderAnswer answer = engines.at(flight.order.address).take(flight.order, now);
            onOrder(flight.who, flight.order, answer);
            m_stewards[flight.who].orders->orderAnswered(flight.order.target, answer, now);
        }
    }

    std::vector<Steward> m_stewards;
    std::vector<Flight> m_flights;
};

} // namespace sagechute::steward
