#pragma once

/// @file
/// What operators work with: the resource API with its watches and its page, and the command line over that API.

#include <sagechute/Config.h>
#include <sagechute/Net.h>

#include <chrono>
#include <cstddef>
#include <functional>
#include <iosfwd>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace sagechute::operators {

/// What an operator may do. Each role includes those before it.
enum class Role {
    View, ///< Read resources, status and the audit trail.
    Change, ///< Declare, change and delete resources.
};

std::string_view toString(Role);

/// One operator as the API's settings name it.
struct OperatorKey {
    std::string name;
    Role role = Role::View;
    std::string key;
};

/// Reads "NAME:ROLE:KEY,NAME:ROLE:KEY".
/// @return the operators, or BadRequest naming the entry by its place, never by its text, since that holds a key.
absl::StatusOr<std::vector<OperatorKey>> parseOperatorKeys(std::string_view text);

/// Settings of the operators' API.
struct ApiOptions {
    std::vector<OperatorKey> keys;
    std::vector<std::string> routers; ///< Base URLs of routers to ask first; the others are learnt from them.
    std::string platformUrl; ///< Whose list of VMs is asked while no router answers; empty for none.
    std::string fleetSecret; ///< Sent to routers; empty when they need none.
    std::chrono::milliseconds pollWaiting { 250 }; ///< Between polls of the routers while somebody waits for a change.
    std::chrono::milliseconds pollIdle { 2000 }; ///< The same while nobody waits.
    std::chrono::milliseconds pollTimeout { 1000 };
    std::size_t pollFanOut = 8; ///< Routers asked in one poll, in rotation.
    std::size_t changeThreads = 16;
    std::size_t changeQueue = 512; ///< Changes that wait for a thread; further ones are refused.
    std::size_t mostWatches = 128;
    std::chrono::milliseconds watchHeartbeat { 5000 };
};

/// The operators' API. Its state follows the log and the routers; a restart loses nothing.
class Api {
public:
    /// Starts following the log and the routers on threads of its own.
    /// @param log outlives the API. @param client outlives the API.
    static std::unique_ptr<Api> make(ApiOptions, config::LogPort& log, net::HttpClient& client);

    /// Ends the threads. The HTTP server must have been destroyed before.
    virtual ~Api() = default;

    /// Answers one request, at once or later; never blocks.
    virtual void handle(std::shared_ptr<net::ServerExchange>) = 0;

    /// @return OK once the log has been read to its end, or why not.
    virtual absl::Status readiness() const = 0;
};

/// Exit codes of sagechutectl.
inline constexpr int exitDone = 0;
inline constexpr int exitDiffers = 1; ///< `diff` found differences, or `who-is-behind` found somebody.
inline constexpr int exitWrongUsage = 2;
inline constexpr int exitRefused = 3; ///< The document or the change was refused; nothing changed.
inline constexpr int exitConflict = 4; ///< Another change came first, or others refer to it; nothing changed.
inline constexpr int exitNotFound = 5;
inline constexpr int exitNoAccess = 6; ///< The key is wrong, or lacks the role.
inline constexpr int exitUnavailable = 7; ///< No API or no log; the message says whether a change may have been taken.
inline constexpr int exitNotYetInForce = 8; ///< Accepted, but not in force on every router within the time limit.
inline constexpr int exitInternal = 9;

/// An answer of the API as the command line sees it.
struct ApiAnswer {
    int status = 0; ///< HTTP status, 0 when none arrived.
    std::string body;
    bool nothingSent = false; ///< It failed before a byte left.
    std::string detail; ///< Why no answer arrived.
};

/// How the command line reaches the API: a port, so that tests need no sockets. Safe to use from several threads.
class ApiPort {
public:
    virtual ~ApiPort() = default;

    /// Sends one request and waits for its answer.
    /// @param target path with query.
    ApiAnswer call(const std::string& method, const std::string& target, const std::string& body)
    {
        return onCall(method, target, body);
    }

    /// Reads a stream until it ends or the sink returns false.
    /// @return how it ended; a body only with a status other than 200.
    ApiAnswer stream(const std::string& target, const std::function<bool(std::string_view)>& sink)
    {
        return onStream(target, sink);
    }

    /// Waits, before a retry.
    void pause(std::chrono::milliseconds time) { onPause(time); }

    /// @return the present moment of the clock that pause() and the calls take their time from.
    TimePoint now() { return onNow(); }

private:
    virtual ApiAnswer onCall(const std::string& method, const std::string& target, const std::string& body) = 0;
    virtual ApiAnswer onStream(const std::string& target, const std::function<bool(std::string_view)>& sink) = 0;
    virtual void onPause(std::chrono::milliseconds) = 0;
    virtual TimePoint onNow() = 0;
};

/// What every command of sagechutectl needs to know.
struct CtlSettings {
    std::vector<std::string> apiUrls;
    std::string operatorKey;
};

/// Makes the way to the API once the settings are known.
using ApiPortFactory = std::function<std::unique_ptr<ApiPort>(const CtlSettings&)>;

/// Makes an ApiPort over HTTP. It goes on to the next URL when nothing of a request was sent to one.
std::unique_ptr<ApiPort> makeHttpApiPort(const CtlSettings&);

/// Runs one command of sagechutectl.
/// @param arguments without the program's name. @param environment "NAME=value" texts.
/// @return the exit code.
int runCtl(const std::vector<std::string>& arguments, const std::vector<std::string>& environment,
    const ApiPortFactory& connect, std::ostream& out, std::ostream& err);

} // namespace sagechute::operators
