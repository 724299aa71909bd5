#pragma once

#include <sagechute/Config.h>
#include <sagechute/Net.h>

#include <nlohmann/json.hpp>

#include <chrono>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sagechute::operators {

/// Query parameters, read strictly: an unknown or repeated one, or one that does not parse, is an error.
class Query {
public:
    /// @param known the names that the request may have.
    /// @return the parameters, or BadRequest.
    static absl::StatusOr<Query> make(const std::vector<net::Field>&, std::initializer_list<std::string_view> known);

    /// @param absent the value when the parameter is not there.
    absl::StatusOr<std::uint64_t> count(std::string_view name, std::uint64_t absent, std::uint64_t most) const;
    absl::StatusOr<bool> flag(std::string_view name) const;
    bool has(std::string_view name) const { return net::findField(m_fields, name).has_value(); }

private:
    std::vector<net::Field> m_fields;
};

/// A change as an operator asks for it.
struct ChangeRequest {
    config::Kind kind = config::Kind::Customer;
    std::string name;
    std::optional<LogOffset> expected; ///< Absent: from whatever is there now.
    std::optional<nlohmann::json> spec; ///< Absent: delete.
    std::string id; ///< Empty until one is chosen.
    bool dryRun = false;
    std::string operatorName;
    std::string from;
};

/// Reads the body of a PUT or a trial POST into a request.
/// @return OK, or BadRequest naming the field.
absl::Status readChangeBody(std::string_view body, ChangeRequest&);

/// Reads the query of a change.
absl::Status readChangeQuery(const net::ServerRequest&, ChangeRequest&);

/// @return the path's parts between slashes.
std::vector<std::string> splitPath(std::string_view path);

} // namespace sagechute::operators
