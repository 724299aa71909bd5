/// @file
/// sagechute-path-load: callers of an edge router, or of a target directly, at a steady rate. Prints as one JSON line
/// what they saw; tools/path_cost.py sets it beside what the router's process took.

#include <sagechute/Net.h>
#include <sagechute/Process.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <cmath>
#include <iostream>
#include <mutex>
#include <thread>

namespace sagechute {

namespace {

    struct Options {
        std::string address;
        std::string path = "/";
        std::string method = "POST";
        std::vector<std::string> headers; ///< "NAME=VALUE".
        std::string idHeader; ///< Gets an identity of its own in each request.
        double rate = 50;
        Duration lasts = std::chrono::seconds(5);
        std::uint64_t bodyBytes = 0;
    };

    /// What callers saw, in milliseconds. Thread-safe.
    class Observations {
    public:
        void ended(int status, bool isWhole, double firstMs, double totalMs, std::uint64_t bytes)
        {
            std::lock_guard lock(m_mutex);
            m_bytes += bytes;
            ++m_statuses[isWhole ? status : 0];
            if (!isWhole || status >= firstFailure)
                return;
            m_first.push_back(firstMs);
            m_total.push_back(totalMs);
        }

        nlohmann::json summary()
        {
            std::lock_guard lock(m_mutex);
            nlohmann::json statuses = nlohmann::json::object();
            for (const auto& [status, n] : m_statuses)
                statuses[std::to_string(status)] = n;
            return { { "statuses", statuses }, { "bytes", m_bytes }, { "firstMs", quantiles(m_first) },
                { "totalMs", quantiles(m_total) } };
        }

        std::uint64_t count()
        {
            std::lock_guard lock(m_mutex);
            std::uint64_t n = 0;
            for (const auto& [status, it] : m_statuses)
                n += it;
            return n;
        }

    private:
        static constexpr int firstFailure = 300;

        static nlohmann::json quantiles(std::vector<double>& values)
        {
            std::sort(values.begin(), values.end());
            const auto at = [&](double part) {
                const auto i = static_cast<std::size_t>(part * static_cast<double>(values.size()));
                return values.empty() ? 0 : values[std::min(i, values.size() - 1)];
            };
            return { { "p50", at(0.5) }, { "p95", at(0.95) }, { "p99", at(0.99) } };
        }

        std::mutex m_mutex;
        std::map<int, std::uint64_t> m_statuses; ///< 0: no whole answer.
        std::uint64_t m_bytes = 0;
        std::vector<double> m_first;
        std::vector<double> m_total;
    };

    double msSince(TimePoint start) { return std::chrono::duration<double, std::milli>(steadyNow() - start).count(); }

    class LoadSink final : public net::TransferSink {
    public:
        explicit LoadSink(Observations& observations)
            : m_observations(observations)
            , m_startedAt(steadyNow())
        {
        }

    private:
        void onHeaders(int, const std::vector<net::Field>&) override { }
        bool onBody(std::string_view bytes) override
        {
            if (m_bytes == 0)
                m_firstMs = msSince(m_startedAt);
            m_bytes += bytes.size();
            return true;
        }
        void onEnd(const net::TransferResult& result) override
        {
            const bool isWhole = net::isUncut(result.end);
            m_observations.ended(result.httpStatus, isWhole, m_firstMs, msSince(m_startedAt), m_bytes);
        }

        Observations& m_observations;
        const TimePoint m_startedAt;
        double m_firstMs = 0;
        std::uint64_t m_bytes = 0;
    };

    net::ClientRequest makeRequest(const Options& options, std::uint64_t serial)
    {
        net::ClientRequest request;
        request.method = options.method;
        request.url = "http://" + options.address + options.path;
        for (const std::string& it : options.headers) {
            const std::size_t mark = it.find('=');
            request.headers.push_back({ it.substr(0, mark), mark == std::string::npos ? "" : it.substr(mark + 1) });
        }
        if (!options.idHeader.empty())
            request.headers.push_back({ options.idHeader, "load-" + std::to_string(serial) });
        request.body = std::string(options.bodyBytes, 'x');
        request.totalTimeout = std::chrono::seconds(20);
        return request;
    }

    /// Sends at the rate, whatever comes back: callers don't wait for each other.
    std::uint64_t send(const Options& options, net::HttpClient& client, Observations& observations)
    {
        const TimePoint start = steadyNow();
        std::uint64_t sent = 0;
        while (steadyNow() - start < options.lasts) {
            const auto due = static_cast<std::uint64_t>(options.rate * msSince(start) / 1000);
            for (; sent < due; ++sent)
                client.start(makeRequest(options, sent), std::make_unique<LoadSink>(observations));
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
        return sent;
    }

    int run(int argc, char** argv)
    {
        Options options;
        process::Settings settings(
            "sagechute-path-load", "sends requests at a steady rate and tells what came of them");
        settings.requiredText("to", options.address, "ADDRESS:PORT that requests are sent to")
            .text("path", options.path, "path of all requests")
            .text("method", options.method, "method of all requests")
            .list("header", options.headers, "NAME=VALUE; may be repeated")
            .text("id-header", options.idHeader, "header that gets an identity of its own in each request")
            .real("rate", options.rate, 0.1, 1e6, "requests a second")
            .duration("lasts", options.lasts, Duration(0), std::chrono::minutes(10), "how long requests are sent")
            .count("body-bytes", options.bodyBytes, 0, 1 << 24, "bytes of each request's body");
        if (const auto code = settings.read(argc, argv))
            return *code;
        net::ClientOptions clientOptions;
        clientOptions.maxPooledConnections = 2000;
        const auto client = net::HttpClient::make(clientOptions);
        if (!client.ok()) {
            std::cerr << client.status().message() << "\n";
            return 1;
        }
        Observations observations;
        const std::uint64_t sent = send(options, **client, observations);
        while (observations.count() < sent)
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        nlohmann::json summary = observations.summary();
        summary["sent"] = sent;
        std::cout << summary.dump() << std::endl;
        return 0;
    }

} // namespace

} // namespace sagechute

int main(int argc, char** argv) { return sagechute::run(argc, argv); }
