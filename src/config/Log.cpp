#include <sagechute/Config.h>

#include <absl/strings/cord.h>

namespace sagechute::config {
namespace {

    constexpr const char* notTakenPayload = "sagechute/not-taken";

} // namespace

absl::Status logUnavailable(std::string_view message, bool mayHaveBeenTaken)
{
    absl::Status status = makeError(ErrorKind::LogUnavailable, message, "Try again when the platform's log answers");
    if (!mayHaveBeenTaken)
        status.SetPayload(notTakenPayload, absl::Cord("1"));
    return status;
}

bool mayHaveBeenTaken(const absl::Status& status)
{
    const ErrorKind kind = errorKind(status);
    const bool isUnclear = kind == ErrorKind::LogUnavailable || kind == ErrorKind::Internal;
    return !status.ok() && isUnclear && !status.GetPayload(notTakenPayload).has_value();
}

} // namespace sagechute::config
