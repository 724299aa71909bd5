#include <sagechute/LogService.h>

#include "core/Concat.h"

#include <nlohmann/json.hpp>

namespace sagechute::logservice {
namespace {

    using nlohmann::json;

    constexpr int goneStatus = 410;
    constexpr int okStatus = 200;
    constexpr int answerDepth = 6;

    absl::Status unavailable(std::string_view what, const net::ClientResponse& response)
    {
        const bool isSent = response.result.end != net::TransferEnd::NothingSent;
        const std::string cause = response.result.httpStatus != 0
            ? concat("it answered with status ", response.result.httpStatus)
            : response.result.detail;
        return config::logUnavailable(concat("The platform's log could not ", what, ": ", cause), isSent);
    }

    bool isWhole(const net::ClientResponse& response) { return net::isUncut(response.result.end); }

    /// Refusals that no repeat will change.
    bool isRefused(int status) { return status >= 400 && status < 500 && status != 408 && status != 429; }

    std::optional<std::uint64_t> numberIn(const json& document, const char* name)
    {
        if (!document.is_object())
            return std::nullopt;
        const auto it = document.find(name);
        if (it == document.end() || !it->is_number_unsigned())
            return std::nullopt;
        return it->get<std::uint64_t>();
    }

    absl::StatusOr<config::LogBatch> parseBatch(const std::string& body)
    {
        const absl::StatusOr<json> document = parseJsonStrictly(body, answerDepth);
        if (!document.ok())
            return document.status();
        const auto first = numberIn(*document, "first");
        const auto next = numberIn(*document, "next");
        if (!first || !next)
            return makeError(ErrorKind::Internal, "The log's answer has no first or next", "See the platform's log");
        config::LogBatch batch { *first, *next, {} };
        const auto records = document->find("records");
        if (records == document->end() || !records->is_array())
            return batch;
        for (const json& record : *records) {
            const auto offset = numberIn(record, "offset");
            const auto data = record.is_object() ? record.find("data") : record.end();
            if (!offset || data == record.end() || !data->is_string())
                return makeError(ErrorKind::Internal, "The log's answer has a record without offset or data",
                    "See the platform's log");
            batch.records.push_back({ *offset, data->get<std::string>() });
        }
        return batch;
    }

    class HttpLog final : public config::LogPort {
    public:
        HttpLog(net::HttpClient& client, std::string baseUrl, std::chrono::milliseconds timeout)
            : m_client(client)
            , m_baseUrl(std::move(baseUrl))
            , m_timeout(timeout)
        {
        }

    private:
        absl::StatusOr<LogOffset> onAppend(std::string_view stream, std::string_view record) override
        {
            net::ClientRequest request = requestTo(stream, "");
            request.method = "POST";
            request.body = record;
            request.headers.push_back({ "Content-Type", "application/json" });
            // The library sends a request again by itself when a pooled connection turns out to be closed: the record
            // would be there twice.
            request.freshConnection = true;
            const net::ClientResponse response = m_client.perform(std::move(request));
            if (!isWhole(response) || response.result.httpStatus != okStatus)
                return appendError(response);
            const absl::StatusOr<json> answer = parseJsonStrictly(response.body, answerDepth);
            const auto offset = answer.ok() ? numberIn(*answer, "offset") : std::nullopt;
            if (!offset)
                return config::logUnavailable("The platform's log took a record and answered without its offset", true);
            return *offset;
        }

        static absl::Status appendError(const net::ClientResponse& response)
        {
            const int status = response.result.httpStatus;
            if (!isWhole(response) || !isRefused(status))
                return unavailable("append", response);
            return makeError(status == 413 ? ErrorKind::TooLarge : ErrorKind::BadRequest,
                concat("The platform's log refused the record with status ", status),
                "See the log's limits and its address in the settings");
        }

        absl::StatusOr<config::LogBatch> onRead(
            std::string_view stream, LogOffset from, std::chrono::milliseconds wait) override
        {
            net::ClientRequest request
                = requestTo(stream, concat("?from=", from, "&wait=", wait.count(), "&most=", recordsAtOnce));
            request.totalTimeout = m_timeout + wait;
            const net::ClientResponse response = m_client.perform(std::move(request));
            const int status = response.result.httpStatus;
            if (!isWhole(response) || (status != okStatus && status != goneStatus))
                return unavailable("read", response);
            absl::StatusOr<config::LogBatch> batch = parseBatch(response.body);
            if (!batch.ok())
                return config::logUnavailable(
                    concat("The log's answer cannot be read: ", batch.status().message().data()), true);
            if (status == goneStatus && batch->first <= from)
                return config::logUnavailable(
                    "The log says that records are gone which it also says that it keeps", true);
            return batch;
        }

        net::ClientRequest requestTo(std::string_view stream, std::string_view query) const
        {
            net::ClientRequest request;
            request.url = concat(m_baseUrl, "/v1/log/", stream, "/records", query);
            request.connectTimeout = std::min(m_timeout, request.connectTimeout);
            request.totalTimeout = m_timeout;
            return request;
        }

        static constexpr int recordsAtOnce = 1000;

        net::HttpClient& m_client;
        const std::string m_baseUrl;
        const std::chrono::milliseconds m_timeout;
    };

} // namespace

std::unique_ptr<config::LogPort> makeHttpLog(
    net::HttpClient& client, std::string baseUrl, std::chrono::milliseconds timeout)
{
    return std::make_unique<HttpLog>(client, std::move(baseUrl), timeout);
}

} // namespace sagechute::logservice
