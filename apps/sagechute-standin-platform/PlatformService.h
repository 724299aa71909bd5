#pragma once

#include <sagechute/Net.h>
#include <sagechute/Process.h>
#include <sagechute/Standin.h>

#include <nlohmann/json.hpp>
#include <prometheus/counter.h>
#include <prometheus/family.h>

#include <map>
#include <mutex>

namespace sagechute::standin {

/// What the platform stand-in is like at the start; faults change some of it later.
struct PlatformOptions {
    std::uint64_t retentionRecords = 1'000'000;
    Duration vmListLag { 0 };
    double loadsPerMinute = 60;
    double loadBurst = 4;
    Duration loadTime { 2'000'000 };
};

/// The platform's log, VM list and weight store over HTTP, with outage, slowness and lost replies on command.
class PlatformService {
public:
    explicit PlatformService(const PlatformOptions&);

    /// Answers at once or later; never blocks.
    void handle(const std::shared_ptr<net::ServerExchange>&);

private:
    using Exchange = std::shared_ptr<net::ServerExchange>;
    using Handler = void (PlatformService::*)(const Exchange&);

    struct Route {
        std::string_view method;
        std::string_view path;
        Handler handler;
        bool faulty; ///< Whether an outage and slowness meet it.
    };

    /// A reader that waits for a record that isn't there yet.
    struct Waiter {
        Exchange exchange;
        std::string stream;
        LogOffset from = 0;
        std::size_t most = 0;
        TimePoint deadline;
    };

    struct Delayed {
        Exchange exchange;
        const Route* route;
    };

    /// An answer that is made under the lock and sent after it.
    struct Reply {
        Exchange exchange;
        net::ServerResponse response;
    };

    struct VmList {
        TimePoint visibleAt;
        nlohmann::json document;
    };

    static const std::vector<Route>& routes();
    void run(const Exchange&, const Route&);
    void records(const Exchange&);
    void append(const Exchange&, const std::string& stream);
    void read(const Exchange&, const std::string& stream);
    void vms(const Exchange&);
    void setVms(const Exchange&);
    void load(const Exchange&);
    void setFaults(const Exchange&);
    void health(const Exchange&);
    void metrics(const Exchange&);

    net::ServerResponse readNow(const std::string& stream, LogOffset from, std::size_t most);
    std::vector<Reply> takeReady(const std::string& stream);
    std::vector<Reply> takeExpired(TimePoint now);
    std::optional<TimePoint> turn(TimePoint now);

    PlatformOptions m_options;
    process::Metrics m_metrics;
    prometheus::Family<prometheus::Counter>& m_requests;

    std::mutex m_mutex; ///< Guards all below.
    std::map<std::string, LogStream> m_streams;
    std::vector<Waiter> m_waiters;
    std::multimap<TimePoint, Delayed> m_delayed;
    std::vector<VmList> m_vmLists;
    WeightStore m_weights;
    bool m_outage = false;
    std::chrono::milliseconds m_slow { 0 };
    std::uint64_t m_loseReplies = 0;

    TimerLoop m_loop; ///< Last, so that its thread ends before what it uses.
};

} // namespace sagechute::standin
