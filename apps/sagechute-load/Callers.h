#pragma once

/// @file
/// All callers of a plan: they begin requests, send them, send again where that is allowed, and check the answers.

#include "Client.h"
#include "Runs.h"
#include "Statistics.h"

#include <memory>
#include <tuple>
#include <unordered_map>

namespace sagechute::load {

/// One customer's requests in one pool, for the sampler.
struct DemandKey {
    PoolId pool;
    CustomerId customer;
    bool operator<(const DemandKey& other) const
    {
        return std::tie(pool, customer) < std::tie(other.pool, other.customer);
    }
};

/// How many sends of one customer are under way in one pool.
struct Demand {
    LeastOutstanding outstanding;
    std::uint64_t endedAfterRun
        = 0; ///< Sends that ended other than by a refusal: as far as the callers know, they ran.
};

/// How one send ended, with its times.
struct SendResult {
    Verdict verdict;
    std::optional<TimePoint> firstToken; ///< Streamed answers.
    TimePoint ended;
    Percentiles tokenGaps;
};

/// What the callers saw. Times leave out requests begun in the warm-up.
struct CallerFindings {
    std::vector<RequestRecord> records;
    std::map<CustomerId, Percentiles>
        waits; ///< From the first send to the first token (streamed) or the whole answer (whole).
    Percentiles firstToken;
    Percentiles tokenGap;
    std::uint64_t arrivalsLeftOut = 0; ///< Open arrivals beyond a flow's maxOutstanding.
};

/// Runs the flows of a plan. All members run on the loop.
class Callers {
public:
    Callers(const Plan&, EventLoop&, net::HttpClient&);
    ~Callers();

    /// Begins the flows at their start times.
    /// @param done run once when the plan's duration has passed and the last request has ended.
    void start(std::function<void()> done);

    std::map<DemandKey, Demand>& demand() { return m_demand; }
    std::size_t outstanding() const { return m_requests.size(); }
    const CallerFindings& findings() const { return m_findings; }

private:
    using Serial = std::uint64_t;
    struct Flow;
    struct Request;
    class RequestSink;

    void beginFlow(Flow&);
    void arriveOpen(Flow&);
    void beginRequest(Flow&, std::size_t client);
    void prepare(Request&);
    std::string hintFor(const Request&);
    void sendFirst(Serial, const Location&);
    void send(Serial);
    void sendAfter(Serial, Duration);
    net::ClientRequest clientRequest(const Request&) const;
    void onSendEnd(Serial, const SendResult&);
    bool moveOn(Request&, const Verdict&);
    bool resendLost(Request&, const Verdict&);
    void finish(Request&, const SendResult&);
    void measure(const Request&, const SendResult&);
    Duration pauseAfter(const Verdict&);
    bool flowOpen(const Flow&) const;
    void endIfDone();
    void giveUp();
    Request* find(Serial);
    Duration jittered(Duration);

    const Plan& m_plan;
    EventLoop& m_loop;
    net::HttpClient& m_http;
    SeededRandom m_random;
    std::vector<std::unique_ptr<Flow>> m_flows;
    std::unordered_map<Serial, std::unique_ptr<Request>> m_requests; ///< Not yet ended.
    std::map<DemandKey, Demand> m_demand;
    CallerFindings m_findings;
    std::function<void()> m_done;
    TimePoint m_startedAt;
    Serial m_nextSerial = 1;
    bool m_durationPassed = false;
};

} // namespace sagechute::load
