#pragma once

/// @file
/// HTTP/1.1 servers and clients on event loops. Adapters only: no decision is made here.

#include <sagechute/Core.h>

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace sagechute::net {

/// One header or query field.
struct Field {
    std::string name;
    std::string value;
};

/// @return whether two header names are the same; ASCII case doesn't count.
bool isSameName(std::string_view left, std::string_view right);

/// @return the value of the first field with that name (ASCII case ignored), or nullopt.
std::optional<std::string_view> findField(const std::vector<Field>&, std::string_view name);

/// @return @p text with all bytes but the unreserved ones of RFC 3986 percent-encoded, for a URL's path or query.
std::string percentEncoded(std::string_view text);

/// A numeric IPv4 or IPv6 address with a port.
struct Endpoint {
    std::string address;
    std::uint16_t port = 0;

    auto operator<=>(const Endpoint&) const = default;
};

/// @param text "127.0.0.1:8080" or "[::1]:8080".
/// @return the endpoint, or BadRequest with the remedy.
absl::StatusOr<Endpoint> parseEndpoint(std::string_view text);
std::string toString(const Endpoint&);

/// A thread that drives sockets and timers. Servers and clients that are made with the same one pass bytes to each
/// other without a lock, a thread switch or a wake-up between them.
class EventLoop {
public:
    static absl::StatusOr<std::unique_ptr<EventLoop>> make();

    /// Ends the thread. Whatever was made with the loop must be destroyed before.
    virtual ~EventLoop() = default;

    /// Calls @p task on the loop's thread, soon. Any thread.
    virtual void post(std::function<void()> task) = 0;

    /// As post(), and returns when it was called.
    virtual void postAndWait(const std::function<void()>& task) = 0;

    virtual bool isOwnThread() const = 0;

    /// @return for how long it has been at work since its start, what it is doing now included. On a machine that gives
    ///         its thread a part of a core, or takes it away for a while, that time counts whole: the difference of two
    ///         calls is the part of the time between them in which nothing more could have been done. Any thread.
    virtual Duration busyTime() const = 0;
};

/// Bounds the memory that connections hold together. Any thread.
class ByteBudget {
public:
    explicit ByteBudget(std::size_t limit)
        : m_limit(limit)
    {
    }

    std::size_t reserved() const { return m_reserved.load(); }

    /// @return false, and nothing is reserved, if the limit would be exceeded.
    bool reserve(std::size_t bytes);
    void release(std::size_t bytes) { m_reserved -= bytes; }

private:
    const std::size_t m_limit;
    std::atomic<std::size_t> m_reserved { 0 };
};

/// Bytes of a budget that are released with the object. Used on one thread at a time.
class ByteReservation {
public:
    /// @param budget shared, as requests may outlive the server that read them; null: no limit.
    explicit ByteReservation(std::shared_ptr<ByteBudget> budget = nullptr)
        : m_budget(std::move(budget))
    {
    }
    ByteReservation(ByteReservation&&) = default;
    ByteReservation& operator=(ByteReservation&&) = delete;
    ~ByteReservation() { release(); }

    /// Raises or lowers the reservation to @p bytes.
    /// @return false, and it stays as it is, if the budget does not have them.
    bool resize(std::size_t bytes);
    void release() { resize(0); }

private:
    std::shared_ptr<ByteBudget> m_budget;
    std::size_t m_bytes = 0;
};

/// A request whose body has been read to its end.
struct ServerRequest {
    std::string method;
    std::string path; ///< Percent-decoded, without the query.
    std::string rawTarget; ///< Path and query as they were sent, for a proxy that must not change them.
    std::vector<Field> query;
    std::vector<Field> headers;
    std::string body;
    bool isBodyDropped = false; ///< It was read without being kept, as ServerOptions::bodyBudget was exhausted.
    std::string peerAddress;
};

/// A whole answer.
struct ServerResponse {
    int status = 200;
    std::vector<Field> headers;
    std::string body;
};

/// @return an application/json answer with @p document as its body.
ServerResponse jsonResponse(int status, const nlohmann::json& document);

/// @return the answer that carries an error: its kind's HTTP status and errorDocument() as the body.
ServerResponse errorResponse(const absl::Status&);

/// One request and its answer. Shared between the HTTP thread and whoever answers, hence its shared ownership.
/// Every member function may be called from any thread. After the caller has gone all writes are ignored.
class ServerExchange {
public:
    virtual ~ServerExchange() = default;

    virtual const ServerRequest& request() const = 0;

    /// Sends a whole answer. Only the first of respond() and startStream() has an effect.
    virtual void respond(ServerResponse) = 0;

    /// Starts a chunked answer.
    virtual void startStream(int status, std::vector<Field> headers) = 0;

    /// Starts an answer whose bytes go out as they are written, its head included: stand-ins break the protocol with
    /// it. finish() then closes the connection in order, and abort() resets it.
    virtual void startRaw() = 0;

    /// Queues bytes of a started stream. Without bytes it only tells how many are queued.
    /// @return bytes now queued and not yet taken by the socket; the writer stops at its own limit and waits for
    /// onDrained.
    virtual std::size_t write(std::string_view bytes) = 0;

    /// Ends a stream properly, after all that was queued.
    virtual void finish() = 0;

    /// Closes the connection without a proper end, so that the caller sees a broken answer.
    virtual void abort() = 0;

    /// Asks the connection itself, which costs a system call: on a busy VM a caller's end may wait for seconds until
    /// onClosed tells of it.
    /// @return false when the caller has gone for certain.
    virtual bool isCallerThere() { return true; }

    /// @param listener called when the queue has fallen to half of the server's stream buffer setting or below, and
    /// each time it runs empty, so that a writer with a smaller limit of its own is told, too. It is called on a server
    /// thread and must not block. A later listener replaces an earlier one.
    virtual void onDrained(std::function<void()> listener) = 0;

    /// @param listener called once when the caller's connection is gone before the answer ended, also while waiting, or
    /// when the server stops; not after abort(). It is called at once if that has already happened. A caller that ends
    /// only its sending side counts as gone. Every listener is called, on a server thread or the one that destroys the
    /// server.
    virtual void onClosed(std::function<void()> listener) = 0;
};

/// Why a server closed a caller's connection.
enum class CloseReason {
    Idle, ///< No byte of a request came within the idle timeout.
    SlowRequest, ///< A request began, and its end did not come in time.
    SlowReader, ///< The caller took nothing of its answer within ServerOptions::stalledAnswerTimeout, or no memory was
                ///< left for what it had not taken.
    Yielded, ///< Another connection or request needed its place or its memory.
    CallerEnded, ///< The caller closed or reset it, or ended its sending side.
    Aborted, ///< The handler broke its answer off.
    Answered, ///< An answer that closes the connection went out to its end.
    Stopped, ///< The server was destroyed.
};

std::string_view toString(CloseReason);

/// A connection of a caller that was closed. Valid during the call only.
struct ClosedConnection {
    CloseReason reason = CloseReason::Idle;
    const ServerRequest* unanswered = nullptr; ///< Read whole, and its answer did not go out to its end; null: none.
    bool hasUnreadBytes = false; ///< Bytes of the caller had come that were not read or not taken as a request.
};

/// Settings of a server.
struct ServerOptions {
    Endpoint listen; ///< Port 0 takes a free one; see HttpServer::endpoint().
    EventLoop* loop = nullptr; ///< Drives the server, and outlives it; null: threads of its own do.
    unsigned threads = 2; ///< Where it has loops of its own.
    std::size_t maxBodyBytes = 4 << 20; ///< A larger body is refused with 413 before it is read.
    /// Of the bodies of all requests that are being read or answered; see ServerRequest::isBodyDropped. Null: no limit.
    std::shared_ptr<ByteBudget> bodyBudget;
    /// Of the heads and small bodies of the same requests, and of what was read behind them. A request without room is
    /// refused with 503 unless another one, incomplete for longer, can be closed. Null: no limit.
    std::shared_ptr<ByteBudget> headBudget;
    /// Of answers that callers have not taken. The caller that has taken nothing for longest is closed for another one.
    /// Null: no limit.
    std::shared_ptr<ByteBudget> answerBudget;
    std::size_t receiveBufferBytes = 0; ///< The kernel's for each connection, which takes twice as much; 0: its own.
    std::size_t sendBufferBytes = 0; ///< As receiveBufferBytes.
    std::vector<Field> refusalFields; ///< Added to the server's own refusals: what they refuse has not run.
    /// A new connection over the limit takes the place of one that serves nobody, in the order of YieldOrder.
    unsigned maxConnections = 4096;
    unsigned maxConnectionsPerAddress = 0; ///< 0: no bound of its own.
    std::chrono::seconds idleTimeout { 30 }; ///< Without a byte; a whole request may take twice as long to arrive.
    /// Longest time in which a caller may take no byte of its answer. Not bound to idleTimeout, which says nothing
    /// about how long an answer takes.
    std::chrono::seconds stalledAnswerTimeout { 120 };
    std::size_t streamBufferBytes = 256 << 10;
    /// Called for each closed connection on a server thread; must not block. Empty: nobody is told.
    std::function<void(const ClosedConnection&)> onClose;

    /// Sets the budgets and the kernel's buffers, and lowers maxConnections, so that eleven sixteenths of @p bytes are
    /// enough for all that callers make the server hold: a quarter for bodies, three sixteenths for the kernel's
    /// receive buffers and the connections themselves, and an eighth each for heads and for answers.
    void limitMemory(std::size_t bytes);

    /// Sets maxConnections, or less where the descriptors of the process don't suffice: a quarter is left for others.
    void limitConnections(std::size_t connections, std::size_t maxDescriptors);
};

/// @return BadRequest if a server of @p memoryBytes, see ServerOptions::limitMemory(), has no room for a body that
///         grows to @p maxBodyBytes.
absl::Status checkBodyLimit(std::size_t maxBodyBytes, std::size_t memoryBytes);

/// An HTTP/1.1 server on its own threads.
class HttpServer {
public:
    using Handler = std::function<void(std::shared_ptr<ServerExchange>)>;

    /// @param handler called on a server thread for each request with a complete body; it must not block, and may
    /// answer at once or later from any thread.
    /// @return the running server, or an error whose remedy names the address.
    static absl::StatusOr<std::unique_ptr<HttpServer>> make(const ServerOptions&, Handler handler);

    /// Stops listening, closes all connections and joins the threads. Exchanges that outlive the server ignore all
    /// calls.
    virtual ~HttpServer() = default;

    /// Stops taking new connections; those open go on.
    virtual void stopListening() = 0;

    /// Changes ServerOptions::idleTimeout. A higher one applies to all connections at once, a lower one to each from
    /// its next request on. Any thread.
    virtual void setIdleTimeout(std::chrono::seconds) = 0;

    /// Changes ServerOptions::maxBodyBytes, for requests that begin from then on. Any thread.
    virtual void setMaxBodyBytes(std::size_t) = 0;

    virtual Endpoint endpoint() const = 0;
    virtual std::size_t openConnections() const = 0;

    /// @return requests whose answers have not left the process to their ends, whether or not they are complete.
    virtual std::size_t openRequests() const = 0;
};

/// How a transfer ended.
enum class TransferEnd {
    Completed, ///< The whole answer arrived, framed as the server announced.
    Closed, ///< The answer announced no length, and the server closed the connection: only the body can tell whether
            ///< that is its end.
    NothingSent, ///< It failed before a byte of the request left: refused, unreachable, connect timeout.
    BrokenAfterSend, ///< The connection broke or the answer was cut after the request may have left.
    TimedOut, ///< The total or the silence limit passed after the request may have left.
    Cancelled,
};

/// @return whether nothing in an answer's framing says that it was cut.
inline bool isUncut(TransferEnd end) { return end == TransferEnd::Completed || end == TransferEnd::Closed; }

/// Names a connection of the process's clients; zero names none.
using ConnectionId = std::uint64_t;

/// Result of a transfer.
struct TransferResult {
    TransferEnd end = TransferEnd::Completed;
    int httpStatus = 0; ///< 0 when no status line arrived.
    std::string detail; ///< The library's message, for logs.
    bool isRefused = false; ///< The other VM answered that nothing listens at the address.
    std::string_view rejectReason; ///< Why the bytes that came were not read on, if that ended it: a static text.
    ConnectionId pooledConnection = 0; ///< Its connection, if that has been kept for other requests.
};

/// A request to send.
struct ClientRequest {
    std::string method = "GET";
    std::string url;
    std::string rawTarget; ///< Sent as the request's target in place of the one in @c url; empty: that of the URL.
    std::vector<Field> headers;
    std::string body;
    std::shared_ptr<const std::string> sharedBody; ///< Sent in place of @c body without a copy of a large one.
    bool isRelayed = false; ///< No header of this product's own is added: the request is somebody else's.
    std::chrono::milliseconds connectTimeout { 1000 };
    std::chrono::milliseconds totalTimeout { 0 }; ///< 0: none.
    std::chrono::milliseconds silenceTimeout { 0 }; ///< Longest time without a byte of answer; 0: none.
    /// Longest time that the other VM may leave sent bytes unacknowledged, and probes unanswered while its receive
    /// buffer is full, before the connection counts as broken; 0: the system's. A process that reads nothing doesn't
    /// reach it as long as its VM answers.
    std::chrono::milliseconds unackedTimeout { 0 };
    /// A pooled connection may be taken, but the request is never sent a second time. Without it, one that was sent on
    /// a pooled connection that turns out to be closed is sent again on a new one; it may then have run twice.
    bool sendOnce = false;
    bool freshConnection
        = false; ///< Neither take a pooled connection nor leave one: for requests that must not be sent twice.
    /// Pooled connections that are not taken: a second answer to an earlier try of the request may still arrive there.
    std::vector<ConnectionId> avoidedConnections;
};

/// Whether a connection has carried a request before.
enum class ConnectionUse { First, Later };

/// Receives an answer, on a client thread. Calls for one transfer are sequential; onEnd is the last.
/// The functions must neither block nor throw: other transfers share the thread, and a C library calls them.
class TransferSink {
public:
    virtual ~TransferSink() = default;

    bool beforeRequest(ConnectionUse use) { return onBeforeRequest(use); }
    void headers(int status, const std::vector<Field>& fields) { onHeaders(status, fields); }
    bool body(std::string_view bytes) { return onBody(bytes); }
    bool isAnswerToRequest() const { return onIsAnswerToRequest(); }
    void end(const TransferResult& result) { onEnd(result); }

private:
    /// The connection is there, and the request is about to leave.
    /// @return false when it is not to be sent after all; the transfer then ends as NothingSent.
    virtual bool onBeforeRequest(ConnectionUse) { return true; }
    virtual void onHeaders(int status, const std::vector<Field>&) = 0;

    /// @return false to be given the same bytes again after HttpClient::resume(); nothing was consumed.
    virtual bool onBody(std::string_view) = 0;

    /// Asked when a whole answer has arrived.
    /// @return false if it is one to another request: the right one may still arrive, so that the connection is closed.
    virtual bool onIsAnswerToRequest() const { return true; }
    virtual void onEnd(const TransferResult&) = 0;
};

/// Names a running transfer.
using TransferId = std::uint64_t;

/// A whole answer.
struct ClientResponse {
    TransferResult result;
    std::vector<Field> headers;
    std::string body;
};

/// Takes a whole answer, on a client thread.
using AnswerHandler = std::function<void(ClientResponse)>;

/// Settings of a client.
struct ClientOptions {
    EventLoop* loop = nullptr; ///< Drives the client, and outlives it; null: threads of its own do.
    unsigned threads = 1; ///< Where it has loops of its own.
    std::chrono::seconds pooledConnectionMaxIdle {
        20
    }; ///< An older pooled connection is not reused: it may have gone silent.
    unsigned maxPooledConnections = 256;
};

/// Runs transfers on event loops, and keeps connections open for the next.
class HttpClient {
public:
    static absl::StatusOr<std::unique_ptr<HttpClient>> make(const ClientOptions&);
    virtual ~HttpClient() = default;

    /// Starts a transfer; returns at once. The sink is called on a client thread and destroyed after onEnd. Destroying
    /// the client ends its transfers as Cancelled.
    virtual TransferId start(ClientRequest, std::unique_ptr<TransferSink>) = 0;

    /// Ends a transfer early; its sink still gets onEnd(Cancelled). Unknown identifiers are ignored.
    virtual void cancel(TransferId) = 0;

    /// Goes on with a transfer whose sink returned false from onBody.
    virtual void resume(TransferId) = 0;

    /// Starts a transfer whose whole answer, of at most 64 MiB, is handed over at its end; returns at once.
    TransferId collect(ClientRequest, AnswerHandler);

    /// Sends a request and waits for the whole answer, as above. Not to be called from a sink.
    ClientResponse perform(ClientRequest);
};

} // namespace sagechute::net
