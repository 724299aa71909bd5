#pragma once

#include "Delivery.h"
#include "TargetService.h"
#include "WeightLoader.h"

#include <unordered_map>

namespace sagechute::standin {

/// What the engine mode is started with.
struct EngineServiceOptions {
    EngineOptions engine;
    Duration flushEvery { 1000 }; ///< Tokens of shorter steps are written together.
    bool checkFencing = false;
    TargetState initial;
    WeightLoaderOptions weights;
};

/// The engine emulator over HTTP. One timer thread drives the steps and writes all answers.
class EngineService final : public TargetService {
public:
    static absl::StatusOr<std::unique_ptr<EngineService>> make(const EngineServiceOptions&);

private:
    using Handler = void (EngineService::*)(const Exchange&);

    struct Route {
        std::string_view method;
        std::string_view path;
        Handler handler;
    };

    /// A reader of cache events that waits for one.
    struct CacheWaiter {
        Exchange exchange;
        std::uint64_t from = 0;
        TimePoint deadline;
    };

    /// What other threads leave for the timer.
    struct Inbox {
        std::vector<std::unique_ptr<Delivery>> arrivals;
        std::vector<DeliveryId> closed;
        std::vector<DeliveryId> drained;
    };

    /// A run as it was under the lock, to be written after it.
    struct Work {
        Delivery* delivery;
        EngineRun run;
    };

    /// A prompt that has been asked before, for answers that belong to another request.
    struct Asked {
        std::string requestId;
        std::shared_ptr<const std::string> prompt;
    };

    struct Reply {
        Exchange exchange;
        net::ServerResponse response;
    };

    EngineService(const EngineServiceOptions&, std::unique_ptr<WeightLoader>);

    bool onHandle(const Exchange&) override;
    const Ledger& onLedger(TimePoint now) override;
    Capacity onCapacity() override;

    static const std::vector<Route>& routes();
    void generate(const Exchange&);
    void submit(const Exchange&, EngineRequest, bool streamed);
    void resume(const Exchange&, const std::string& requestId, std::uint64_t from, bool streamed);
    AnswerPlan plan(const EngineRequest&, const Fault&, bool streamed);
    void deliver(const Exchange&, DeliveryId);
    void cancel(const Exchange&);
    void load(const Exchange&);
    void cacheEvents(const Exchange&);
    void order(const Exchange&);
    void state(const Exchange&);

    std::optional<TimePoint> turn(TimePoint now);
    void sortInbox(TimePoint now);
    std::vector<Work> collect();
    void take(std::unique_ptr<Delivery>, TimePoint now);
    void close(DeliveryId, TimePoint now);
    Delivery* find(DeliveryId) const;
    std::vector<Reply> answerWaiters(TimePoint now);
    std::optional<TimePoint> nextTurn(TimePoint now) const;

    EngineServiceOptions m_options;
    EngineModel m_model;
    OrderDesk m_desk;
    Asked m_lastAsked;
    std::uint64_t m_lastSerial = 0;
    Inbox m_inbox;
    std::vector<CacheWaiter> m_waiters;

    // Of the timer's thread alone.
    std::unordered_map<RunNumber, std::unique_ptr<Delivery>> m_deliveries;
    std::vector<RunNumber> m_due;
    std::map<RunNumber, TimePoint> m_held;

    // Last, so that their threads end before what they use.
    std::unique_ptr<WeightLoader> m_loader;
    TimerLoop m_loop;
};

} // namespace sagechute::standin
