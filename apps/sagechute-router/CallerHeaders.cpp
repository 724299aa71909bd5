#include "CallerHeaders.h"

#include <nlohmann/json.hpp>

#include <charconv>
#include <cmath>

namespace sagechute::router {

namespace {

    constexpr std::string_view bearerScheme = "Bearer ";
    constexpr std::uint64_t maxDeadlineMs = 24ULL * 3600 * 1000;
    constexpr double maxCostHint = 1e9;

    /// The prompt prefixes that are hashed for cache affinity, in blocks of 256 bytes. Only a few, because each hash
    /// adds 9 bytes to the messages between routers.
    constexpr std::size_t prefixBlockBytes = 256;
    constexpr std::size_t offeredPrefixBlocks[] = { 1, 4, 16 };

    absl::Status badHeader(std::string_view name, std::string_view expected)
    {
        return makeError(ErrorKind::BadRequest,
            "the header " + std::string(name) + " is missing or has an invalid value",
            "send " + std::string(expected) + " or leave the header out");
    }

    template <typename Number> bool parseNumber(std::string_view text, Number& out)
    {
        const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), out);
        return ec == std::errc {} && end == text.data() + text.size();
    }

    std::vector<std::uint64_t> prefixHashes(const std::string& body)
    {
        const auto document = nlohmann::json::parse(body, nullptr, false);
        if (!document.is_object() || !document.contains("prompt") || !document["prompt"].is_string())
            return {};
        const auto& prompt = document["prompt"].get_ref<const std::string&>();
        std::vector<std::uint64_t> result;
        for (std::size_t blocks : offeredPrefixBlocks) {
            if (prompt.size() >= blocks * prefixBlockBytes)
                result.push_back(stableHash(std::string_view(prompt).substr(0, blocks * prefixBlockBytes)));
        }
        return result;
    }

    absl::Status readSession(const net::ServerRequest& request, routing::RequestArrived& arrival)
    {
        const auto session = net::findField(request.headers, "Sagechute-Session");
        const auto sequence = net::findField(request.headers, "Sagechute-Sequence");
        if (!session && !sequence)
            return absl::OkStatus();
        std::uint64_t number = 0;
        if (!session || !sequence || !parseNumber(*sequence, number))
            return badHeader("Sagechute-Sequence", "both Sagechute-Session and a whole number as Sagechute-Sequence");
        if (absl::Status status = delivery::sessionHolder(*session).status(); !status.ok())
            return status;
        arrival.resend = delivery::ResendKey { arrival.customer, std::string(*session), number };
        return absl::OkStatus();
    }

} // namespace

std::string_view bearerKey(const net::ServerRequest& request)
{
    const auto value = net::findField(request.headers, "Authorization");
    return value && value->starts_with(bearerScheme) ? value->substr(bearerScheme.size()) : std::string_view {};
}

absl::StatusOr<routing::RequestArrived> readArrival(
    const net::ServerRequest& request, const CustomerId& customer, config::TargetMode mode)
{
    routing::RequestArrived arrival;
    arrival.customer = customer;
    if (auto value = net::findField(request.headers, "Sagechute-Repeatable")) {
        if (*value != "yes" && *value != "no")
            return badHeader("Sagechute-Repeatable", "yes or no");
        arrival.repeatable = *value == "yes";
    }
    if (auto value = net::findField(request.headers, "Sagechute-Deadline-Ms")) {
        std::uint64_t ms = 0;
        if (!parseNumber(*value, ms) || ms == 0 || ms > maxDeadlineMs)
            return badHeader("Sagechute-Deadline-Ms", "whole milliseconds from 1 to 86400000");
        arrival.deadlineIn = std::chrono::milliseconds(ms);
    }
    if (auto value = net::findField(request.headers, "Sagechute-Cost-Hint")) {
        if (!parseNumber(*value, arrival.hint) || !std::isfinite(arrival.hint) || arrival.hint < 0
            || arrival.hint > maxCostHint)
            return badHeader("Sagechute-Cost-Hint", "a number of cost units from 0 to 1e9");
    }
    if (absl::Status status = readSession(request, arrival); !status.ok())
        return status;
    const auto accept = net::findField(request.headers, "Accept");
    arrival.streamed = accept && accept->find("text/event-stream") != std::string_view::npos;
    arrival.forwarded = net::findField(request.headers, "Sagechute-Forwarded").has_value();
    arrival.bodyHash = stableHash(request.body, stableHash(request.path));
    if (mode == config::TargetMode::Engine)
        arrival.prefixes = prefixHashes(request.body);
    return arrival;
}

} // namespace sagechute::router
