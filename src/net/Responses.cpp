#include <sagechute/Net.h>

#include <nlohmann/json.hpp>

namespace sagechute::net {

ServerResponse jsonResponse(int status, const nlohmann::json& document)
{
    // The replacing handler: text that came from a target may not be UTF-8, and dump() would throw on it.
    auto body = document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return { status, { { "Content-Type", "application/json" } }, std::move(body) };
}

ServerResponse errorResponse(const absl::Status& error)
{
    return jsonResponse(httpStatus(errorKind(error)), errorDocument(error));
}

} // namespace sagechute::net
