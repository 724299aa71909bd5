#include <sagechute/Core.h>

#include <absl/strings/cord.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cassert>

namespace sagechute {

namespace {

    /// The packaged absl has a string_view of its own.
    absl::string_view toAbsl(std::string_view text) { return { text.data(), text.size() }; }

    constexpr std::string_view kindPayload = "sagechute/kind";
    constexpr std::string_view remedyPayload = "sagechute/remedy";

    struct KindTraits {
        ErrorKind kind;
        std::string_view name;
        int httpStatus;
        absl::StatusCode code;
    };

    constexpr std::array kindTable {
        KindTraits { ErrorKind::BadRequest, "bad-request", 400, absl::StatusCode::kInvalidArgument },
        KindTraits { ErrorKind::Unauthenticated, "unauthenticated", 401, absl::StatusCode::kUnauthenticated },
        KindTraits { ErrorKind::Forbidden, "forbidden", 403, absl::StatusCode::kPermissionDenied },
        KindTraits { ErrorKind::NotFound, "not-found", 404, absl::StatusCode::kNotFound },
        KindTraits { ErrorKind::Conflict, "conflict", 409, absl::StatusCode::kAborted },
        KindTraits { ErrorKind::TooLarge, "too-large", 413, absl::StatusCode::kOutOfRange },
        KindTraits { ErrorKind::TooManyRequests, "too-many-requests", 429, absl::StatusCode::kResourceExhausted },
        KindTraits { ErrorKind::QueueFull, "queue-full", 503, absl::StatusCode::kResourceExhausted },
        KindTraits { ErrorKind::DeadlineExceeded, "deadline-exceeded", 504, absl::StatusCode::kDeadlineExceeded },
        KindTraits { ErrorKind::Draining, "draining", 503, absl::StatusCode::kUnavailable },
        KindTraits { ErrorKind::CutOff, "cut-off", 503, absl::StatusCode::kUnavailable },
        KindTraits { ErrorKind::NoTarget, "no-target", 503, absl::StatusCode::kUnavailable },
        KindTraits { ErrorKind::TargetFailed, "target-failed", 502, absl::StatusCode::kUnavailable },
        KindTraits { ErrorKind::OutcomeLost, "outcome-lost", 502, absl::StatusCode::kDataLoss },
        KindTraits { ErrorKind::LogUnavailable, "log-unavailable", 503, absl::StatusCode::kUnavailable },
        KindTraits { ErrorKind::RetentionExceeded, "retention-exceeded", 410, absl::StatusCode::kOutOfRange },
        KindTraits { ErrorKind::Internal, "internal", 500, absl::StatusCode::kInternal },
    };

    constexpr bool isIndexedByKind()
    {
        for (std::size_t i = 0; i < kindTable.size(); ++i) {
            if (kindTable[i].kind != static_cast<ErrorKind>(i))
                return false;
        }
        return kindTable.back().kind == ErrorKind::Internal;
    }
    static_assert(isIndexedByKind());

    const KindTraits& traits(ErrorKind kind) { return kindTable[static_cast<std::size_t>(kind)]; }

} // namespace

std::string_view toString(ErrorKind kind) { return traits(kind).name; }

int httpStatus(ErrorKind kind) { return traits(kind).httpStatus; }

absl::Status makeError(ErrorKind kind, std::string_view message, std::string_view remedy)
{
    assert(!remedy.empty());
    absl::Status status(traits(kind).code, toAbsl(message));
    status.SetPayload(toAbsl(kindPayload), absl::Cord(toAbsl(traits(kind).name)));
    status.SetPayload(toAbsl(remedyPayload), absl::Cord(toAbsl(remedy)));
    return status;
}

ErrorKind errorKind(const absl::Status& status)
{
    auto payload = status.GetPayload(toAbsl(kindPayload));
    if (!payload)
        return ErrorKind::Internal;
    auto it = std::find_if(
        kindTable.begin(), kindTable.end(), [&](const auto& entry) { return *payload == toAbsl(entry.name); });
    return it == kindTable.end() ? ErrorKind::Internal : it->kind;
}

std::string errorRemedy(const absl::Status& status)
{
    auto payload = status.GetPayload(toAbsl(remedyPayload));
    return payload ? std::string(*payload) : std::string();
}

nlohmann::json errorDocument(const absl::Status& status)
{
    return {
        { "kind", toString(errorKind(status)) },
        { "message", std::string(status.message()) },
        { "remedy", errorRemedy(status) },
    };
}

} // namespace sagechute
