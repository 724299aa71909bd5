#include <sagechute/Core.h>

#include "core/Concat.h"

#include <charconv>
#include <ctime>
#include <optional>

namespace sagechute {

namespace {

    absl::Status requestIdError(std::string_view text)
    {
        return makeError(ErrorKind::BadRequest, concat("\"", text, "\" is not a request identity"),
            "Use the form vm.incarnation.serial, as in the header Sagechute-Request-Id of an answer");
    }

    /// @return the number, or nullopt unless the whole text is its only decimal form (no sign, no leading zero).
    std::optional<std::uint64_t> parseCanonicalNumber(std::string_view text)
    {
        if (text.size() > 1 && text.front() == '0')
            return std::nullopt;
        std::uint64_t number = 0;
        const char* end = text.data() + text.size();
        auto [it, ec] = std::from_chars(text.data(), end, number);
        if (ec != std::errc() || it != end)
            return std::nullopt;
        return number;
    }

} // namespace

TimePoint steadyNow()
{
    auto sinceStart = std::chrono::steady_clock::now().time_since_epoch();
    return TimePoint(std::chrono::duration_cast<Duration>(sinceStart));
}

TimePoint unsuspendedNow()
{
    timespec now {};
    // Can't fail: the clock is there since Linux 2.6.39, and the address is good.
    clock_gettime(CLOCK_BOOTTIME, &now);
    const auto sinceBoot = std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec);
    return TimePoint(std::chrono::duration_cast<Duration>(sinceBoot));
}

std::string toString(const RequestId& id)
{
    return concat(id.origin.vm.value, ".", id.origin.incarnation, ".", id.serial);
}

absl::StatusOr<RequestId> parseRequestId(std::string_view text)
{
    // Split from the right: the name of a VM may itself contain dots.
    auto serialDot = text.rfind('.');
    if (serialDot == std::string_view::npos || serialDot == 0)
        return requestIdError(text);
    auto incarnationDot = text.rfind('.', serialDot - 1);
    if (incarnationDot == std::string_view::npos || incarnationDot == 0)
        return requestIdError(text);

    auto serial = parseCanonicalNumber(text.substr(serialDot + 1));
    auto incarnation = parseCanonicalNumber(text.substr(incarnationDot + 1, serialDot - incarnationDot - 1));
    if (!serial || !incarnation)
        return requestIdError(text);
    return RequestId { { { std::string(text.substr(0, incarnationDot)) }, *incarnation }, *serial };
}

std::string_view toString(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Completed:
        return "completed";
    case Outcome::NotRun:
        return "not-run";
    case Outcome::Unknown:
        return "unknown";
    case Outcome::Incomplete:
        return "incomplete";
    }
    return "unknown";
}

} // namespace sagechute
