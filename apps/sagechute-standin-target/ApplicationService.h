#pragma once

#include "TargetService.h"

#include <unordered_map>

namespace sagechute::standin {

/// The application emulator over HTTP.
class ApplicationService final : public TargetService {
public:
    explicit ApplicationService(const ApplicationOptions&);

private:
    /// A call whose answer is owed.
    struct Pending {
        Exchange exchange;
        Fault fault;
        std::string requestId;
        std::string echo;
    };

    /// A call and its cost, to be answered after the lock.
    struct Answer {
        Pending pending;
        Cost cost = 0;
    };

    struct LastCall {
        std::string requestId;
        std::string echo;
    };

    bool onHandle(const Exchange&) override;
    const Ledger& onLedger(TimePoint now) override;
    Capacity onCapacity() override;

    void call(const Exchange&);
    void cross(Pending&);
    void collect(TimePoint now);
    std::optional<TimePoint> turn(TimePoint now);
    static void answer(const Answer&);

    ApplicationOptions m_options;
    ApplicationModel m_model;
    LastCall m_lastCall;
    std::unordered_map<std::uint64_t, Pending> m_pending;
    std::multimap<TimePoint, Answer> m_answers; ///< By when they are due.
    TimerLoop m_loop; ///< Last, so that its thread ends before what it uses.
};

} // namespace sagechute::standin
