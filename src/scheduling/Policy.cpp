#include <sagechute/Scheduling.h>

#include <array>

namespace sagechute::scheduling {

namespace {

    struct PolicyName {
        Policy policy;
        std::string_view name;
    };

    constexpr std::array kPolicyNames {
        PolicyName { Policy::Cells, "cells" },
        PolicyName { Policy::Static, "static" },
        PolicyName { Policy::Fifo, "fifo" },
    };

} // namespace

absl::StatusOr<Policy> parsePolicy(std::string_view text)
{
    for (const auto& it : kPolicyNames) {
        if (it.name == text)
            return it.policy;
    }
    return makeError(ErrorKind::BadRequest, "unknown scheduling policy '" + std::string(text) + "'",
        "use one of cells, static, fifo");
}

std::string_view toString(Policy policy)
{
    for (const auto& it : kPolicyNames) {
        if (it.policy == policy)
            return it.name;
    }
    return "unknown";
}

} // namespace sagechute::scheduling
