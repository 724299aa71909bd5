#pragma once

#include <sagechute/Core.h>

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace sagechute::config {

/// Reads a JSON object of the product's own making strictly: each member is taken out once, and finish() refuses what
/// is left. After a first problem all further reads give empty values, so that a decoder needs a single check at its
/// end.
class DocumentReader {
public:
    explicit DocumentReader(nlohmann::json document);

    /// @param most longest text in bytes.
    std::string text(std::string_view name, std::size_t most);
    std::uint64_t number(std::string_view name);
    bool flag(std::string_view name);
    nlohmann::json array(std::string_view name);

    /// @return the member of any type, discarded when there is none.
    nlohmann::json optional(std::string_view name);

    /// Reads a text that must be exactly @p wanted.
    void expectText(std::string_view name, std::string_view wanted);
    void expectNumber(std::string_view name, std::uint64_t wanted);

    /// Notes a problem that the caller found.
    void fail(std::string problem);
    bool failed() const { return !m_problem.empty(); }

    /// @return OK, or BadRequest naming the first problem or a member that nobody read.
    absl::Status finish(std::string_view what);

private:
    nlohmann::json take(std::string_view name, bool (nlohmann::json::*isRight)() const noexcept, std::string_view type);

    nlohmann::json m_document;
    std::string m_problem;
};

} // namespace sagechute::config
