#pragma once

#include <sagechute/Net.h>
#include <sagechute/Process.h>
#include <sagechute/Standin.h>

#include <nlohmann/json_fwd.hpp>
#include <prometheus/family.h>
#include <prometheus/gauge.h>

#include <mutex>

namespace sagechute::standin {

/// What each mode of the target stand-in has in common: health, the tester's account, faults, metrics.
class TargetService {
public:
    using Exchange = std::shared_ptr<net::ServerExchange>;

    virtual ~TargetService() = default;

    /// Answers at once or later; never blocks.
    void handle(const Exchange&);

protected:
    /// How much the emulator could do and has to do.
    struct Capacity {
        std::uint64_t slots = 0;
        std::uint64_t waiting = 0;
    };

    explicit TargetService(bool streams);

    /// @return the request's identity; one of its own kind when the caller gave none, nullopt when it isn't plain text.
    std::optional<std::string> requestIdOf(const net::ServerRequest&);

    static std::string headerOf(const net::ServerRequest&, std::string_view name);
    static void refuse(const Exchange&, const Fault&);

    std::mutex m_mutex; ///< Guards the emulator, the faults and all else that handlers and the timer share.
    FaultTable m_faults;

private:
    using Handler = void (TargetService::*)(const Exchange&);

    struct Route {
        std::string_view method;
        std::string_view path;
        Handler handler;
    };

    /// @return whether the path is one of the mode's own.
    virtual bool onHandle(const Exchange&) = 0;

    /// Called with the lock. @return the emulator's account, brought up to @p now.
    virtual const Ledger& onLedger(TimePoint now) = 0;

    /// Called with the lock.
    virtual Capacity onCapacity() = 0;

    static const std::vector<Route>& routes();
    void health(const Exchange&);
    void runs(const Exchange&);
    void stats(const Exchange&);
    void setFaults(const Exchange&);
    void metrics(const Exchange&);
    nlohmann::json statsDocument(TimePoint now);

    bool m_streams;
    std::uint64_t m_unnamed = 0;
    process::Metrics m_metrics;
    prometheus::Family<prometheus::Gauge>& m_gauges;
};

} // namespace sagechute::standin
