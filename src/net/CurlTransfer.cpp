#include "net/CurlTransfer.h"

#include "core/Concat.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>

namespace sagechute::net {

namespace {

    constexpr std::size_t maxHeaderBytes = 256 << 10;
    constexpr std::string_view whitespace = " \t\r\n";

    /// A connection may fall silent for good without a reset: something between the two ends has lost track of it. Only
    /// probes show that on an idle one; after this long without an answer to any it counts as broken.
    constexpr int probeAfterSeconds = 2;
    constexpr int probeEverySeconds = 1;
    constexpr int mostLostProbes = 2;

    int setSocketOptions(void* timeout, curl_socket_t fd, curlsocktype)
    {
        constexpr int on = 1;
        setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
        setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &probeAfterSeconds, sizeof(int));
        setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &probeEverySeconds, sizeof(int));
        setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &mostLostProbes, sizeof(int));
        const auto unackedMs = static_cast<unsigned>(static_cast<const std::chrono::milliseconds*>(timeout)->count());
        if (unackedMs)
            setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unackedMs, sizeof(unackedMs));
        return CURL_SOCKOPT_OK;
    }

    std::string_view trim(std::string_view text)
    {
        auto first = text.find_first_not_of(whitespace);
        if (first == std::string_view::npos)
            return {};
        return text.substr(first, text.find_last_not_of(whitespace) - first + 1);
    }

    bool isSendable(const Field& field)
    {
        constexpr std::string_view forbiddenInName("\r\n\0: ", 5);
        constexpr std::string_view forbiddenInValue("\r\n\0", 3);
        return !field.name.empty() && field.name.find_first_of(forbiddenInName) == std::string::npos
            && field.value.find_first_of(forbiddenInValue) == std::string::npos;
    }

    bool appendLine(HeaderList& list, const std::string& line)
    {
        auto* extended = curl_slist_append(list.get(), line.c_str());
        if (!extended)
            return false;
        static_cast<void>(list.release());
        list.reset(extended);
        return true;
    }

    bool carriesBody(const ClientRequest& request)
    {
        return !request.body.empty() || request.method == "POST" || request.method == "PUT"
            || request.method == "PATCH";
    }

} // namespace

EasyHandle CurlTransfer::makeHandle(const ClientOptions& options)
{
    EasyHandle owner(curl_easy_init());
    CURL* handle = owner.get();
    if (!handle)
        return owner;
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_HTTP_VERSION, long { CURL_HTTP_VERSION_1_1 });
    curl_easy_setopt(handle, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(handle, CURLOPT_PROXY, "");
    curl_easy_setopt(handle, CURLOPT_PATH_AS_IS, 1L);
    curl_easy_setopt(handle, CURLOPT_FOLLOWLOCATION, 0L);
    curl_easy_setopt(handle, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(handle, CURLOPT_MAXAGE_CONN, static_cast<long>(options.pooledConnectionMaxIdle.count()));
    curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, &onHeaderLine);
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &onBodyBytes);
    curl_easy_setopt(handle, CURLOPT_PREREQFUNCTION, &onRequest);
    return owner;
}

CurlTransfer::CurlTransfer(TransferId id, ClientRequest request, std::unique_ptr<TransferSink> sink, EasyHandle handle)
    : m_id(id)
    , m_request(std::move(request))
    , m_sink(std::move(sink))
    , m_handle(std::move(handle))
    , m_lastByte(steadyNow())
{
}

bool CurlTransfer::prepare()
{
    CURL* handle = m_handle.get();
    if (!handle) {
        m_problem = "no memory for a transfer";
        return false;
    }
    curl_easy_setopt(handle, CURLOPT_PRIVATE, this);
    curl_easy_setopt(handle, CURLOPT_HEADERDATA, this);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, this);
    curl_easy_setopt(handle, CURLOPT_PREREQDATA, this);
    curl_easy_setopt(handle, CURLOPT_ERRORBUFFER, m_errorText.data());
    curl_easy_setopt(handle, CURLOPT_URL, m_request.url.c_str());
    curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(m_request.connectTimeout.count()));
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, static_cast<long>(m_request.totalTimeout.count()));
    // Without a connection of its own, libcurl sends a request again when a pooled connection turns out to be closed.
    curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, m_request.freshConnection ? 1L : 0L);
    curl_easy_setopt(handle, CURLOPT_FORBID_REUSE, m_request.freshConnection ? 1L : 0L);
    curl_easy_setopt(handle, CURLOPT_SOCKOPTFUNCTION, &setSocketOptions);
    curl_easy_setopt(handle, CURLOPT_SOCKOPTDATA, &m_request.unackedTimeout);
    curl_easy_setopt(
        handle, CURLOPT_REQUEST_TARGET, m_request.rawTarget.empty() ? nullptr : m_request.rawTarget.c_str());
    setMethod();
    return setHeaders();
}

void CurlTransfer::setMethod()
{
    CURL* handle = m_handle.get();
    curl_easy_setopt(handle, CURLOPT_HTTPGET, 1L);
    if (carriesBody(m_request)) {
        curl_easy_setopt(handle, CURLOPT_POST, 1L);
        curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(m_request.body.size()));
        curl_easy_setopt(handle, CURLOPT_POSTFIELDS, m_request.body.c_str());
    }
    if (m_request.method == "HEAD")
        curl_easy_setopt(handle, CURLOPT_NOBODY, 1L);
    curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, m_request.method.c_str());
}

bool CurlTransfer::setHeaders()
{
    // What libcurl would add: "Expect" holds the body back for a round trip, the content type is one for forms, and a
    // relayed request must arrive as it was sent.
    bool complete = appendLine(m_headerList, "Expect:");
    if (!m_request.isRelayed)
        complete = complete && appendLine(m_headerList, "User-Agent: sagechute");
    for (const char* name : { "Content-Type", "Accept", "User-Agent" }) {
        const bool isOurs = !m_request.isRelayed && name != std::string_view("Content-Type");
        if (!isOurs && !findField(m_request.headers, name))
            complete = complete && appendLine(m_headerList, std::string(name) + ":");
    }
    for (const auto& field : m_request.headers) {
        if (!isSendable(field)) {
            m_problem = concat("the header \"", field.name, "\" can't be sent: it contains a line break or zero byte");
            return false;
        }
        // libcurl takes a name with nothing after the colon as the order to leave the header out.
        bool isEmpty = trim(field.value).empty();
        complete = complete && appendLine(m_headerList, isEmpty ? field.name + ";" : field.name + ": " + field.value);
    }
    curl_easy_setopt(m_handle.get(), CURLOPT_HTTPHEADER, m_headerList.get());
    if (!complete)
        m_problem = "no memory for a transfer";
    return complete;
}

int CurlTransfer::onRequest(void* transfer, char*, char*, int, int)
{
    auto& self = *static_cast<CurlTransfer*>(transfer);
    // Called again when libcurl repeats the request by itself, as the pooled connection had been closed.
    if (self.m_requestStarted && self.m_request.sendOnce) {
        self.m_problem = "the pooled connection was closed; the request is not sent again";
        return CURL_PREREQFUNC_ABORT;
    }
    if (!self.m_requestStarted && !self.m_sink->beforeRequest()) {
        self.m_problem = "the request is not wanted any more";
        return CURL_PREREQFUNC_ABORT;
    }
    self.m_requestStarted = true;
    return CURL_PREREQFUNC_OK;
}

std::size_t CurlTransfer::onHeaderLine(char* bytes, std::size_t, std::size_t size, void* transfer)
{
    return static_cast<CurlTransfer*>(transfer)->takeHeaderLine({ bytes, size }) ? size : 0;
}

bool CurlTransfer::takeHeaderLine(std::string_view line)
{
    m_lastByte = steadyNow();
    m_headerBytes += line.size();
    if (m_headerBytes > maxHeaderBytes) {
        m_problem = concat("the answer's headers are larger than ", maxHeaderBytes, " bytes");
        return false;
    }
    if (m_headersDelivered)
        return true; // A trailer.
    if (line.starts_with("HTTP/")) {
        m_fields.clear(); // What came before belongs to an interim answer (1xx).
        return true;
    }
    auto colon = line.find(':');
    if (trim(line).empty())
        deliverHeaders();
    else if (colon != std::string_view::npos)
        m_fields.push_back({ std::string(trim(line.substr(0, colon))), std::string(trim(line.substr(colon + 1))) });
    return true;
}

void CurlTransfer::deliverHeaders()
{
    constexpr int firstFinalStatus = 200;
    int status = httpStatus();
    if (status < firstFinalStatus)
        return;
    m_headersDelivered = true;
    m_sink->headers(status, m_fields);
}

std::size_t CurlTransfer::onBodyBytes(char* bytes, std::size_t, std::size_t size, void* transfer)
{
    auto& self = *static_cast<CurlTransfer*>(transfer);
    self.m_lastByte = steadyNow();
    if (self.m_sink->body({ bytes, size }))
        return size;
    self.m_paused = true;
    return CURL_WRITEFUNC_PAUSE;
}

CURLcode CurlTransfer::resume()
{
    if (!m_paused)
        return CURLE_OK;
    // Before the call: it may deliver bytes at once and be paused again by the sink.
    m_paused = false;
    m_lastByte = steadyNow();
    return curl_easy_pause(m_handle.get(), CURLPAUSE_CONT);
}

TimePoint CurlTransfer::silenceDue() const
{
    if (!m_request.silenceTimeout.count())
        return TimePoint::max();
    // While the sink holds the answer back, silence is its own doing.
    return (m_paused ? steadyNow() : m_lastByte) + m_request.silenceTimeout;
}

bool CurlTransfer::hasSentNothing() const
{
    // Two witnesses. libcurl announces each request just before it sends it, on pooled connections, too, and counts the
    // bytes that the kernel took. A wrong "nothing sent" would let a request run twice.
    long sentBytes = 0;
    if (m_handle)
        curl_easy_getinfo(m_handle.get(), CURLINFO_REQUEST_SIZE, &sentBytes);
    return !m_requestStarted && sentBytes == 0;
}

TransferEnd CurlTransfer::endOf(CURLcode code) const
{
    // libcurl calls an answer whole that was cut within its headers; then they were never delivered.
    if (code == CURLE_OK && m_headersDelivered)
        return TransferEnd::Completed;
    if (hasSentNothing())
        return TransferEnd::NothingSent;
    return code == CURLE_OPERATION_TIMEDOUT ? TransferEnd::TimedOut : TransferEnd::BrokenAfterSend;
}

int CurlTransfer::httpStatus() const
{
    long status = 0;
    if (m_handle)
        curl_easy_getinfo(m_handle.get(), CURLINFO_RESPONSE_CODE, &status);
    return static_cast<int>(status);
}

void CurlTransfer::end(CURLcode code)
{
    std::string detail = m_problem;
    auto end = endOf(code);
    if (detail.empty() && code != CURLE_OK)
        detail = m_errorText.front() ? m_errorText.data() : curl_easy_strerror(code);
    else if (detail.empty() && end != TransferEnd::Completed)
        detail = "the answer was cut within its headers";
    m_sink->end({ end, httpStatus(), std::move(detail) });
}

void CurlTransfer::endEarly(TransferEnd end, std::string_view detail)
{
    m_sink->end({ end, m_requestStarted ? httpStatus() : 0, std::string(detail) });
}

} // namespace sagechute::net
