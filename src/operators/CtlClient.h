#pragma once

#include <sagechute/Operators.h>

#include <nlohmann/json.hpp>

#include <string>

namespace sagechute::operators {

/// A resource as a document of the operator declares it.
struct DeclaredResource {
    std::string kind;
    std::string name;
    nlohmann::json spec;
    std::optional<LogOffset> expected; ///< From the document's "version".

    std::string text() const { return kind + "/" + name; }
};

/// Result of one call: the API's document, or an error with its exit code.
struct CtlResult {
    int exitCode = exitDone;
    nlohmann::json document; ///< The API's answer, also when it is an error.
    std::string message; ///< What went wrong, with the remedy.

    bool ok() const { return exitCode == exitDone; }
};

/// Typed calls of the API. Safe to use from several threads.
class CtlClient {
public:
    /// @param port outlives the client. @param timeout longest time for one change with its retries.
    CtlClient(ApiPort& port, Duration timeout)
        : m_port(port)
        , m_timeout(timeout)
    {
    }

    CtlResult get(const std::string& target);
    CtlResult tryOut(const DeclaredResource&);

    /// Sends a change until its outcome is known, always under one id, so that it cannot take effect twice.
    CtlResult put(const DeclaredResource&);
    CtlResult remove(const std::string& kind, const std::string& name, std::optional<LogOffset> expected);

    /// Waits until the configuration up to @p offset is in force on every router, or the timeout has passed.
    /// @return the last answer; exitNotYetInForce when a router still lags.
    CtlResult awaitInForce(LogOffset offset);

    ApiPort& port() { return m_port; }

private:
    CtlResult change(const std::string& method, const std::string& target, const std::string& body);

    ApiPort& m_port;
    const Duration m_timeout;
};

/// @return what an answer of the API means.
CtlResult judge(const ApiAnswer&);

/// @return the path of a resource in the API.
std::string resourcePath(std::string_view kind, std::string_view name);

} // namespace sagechute::operators
