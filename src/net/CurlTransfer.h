#pragma once

#include "net/CurlHandles.h"

#include <sagechute/Net.h>

#include <array>

namespace sagechute::net {

/// One transfer of a worker: the request, libcurl's handle for it, and what is known of its progress.
/// Used on the worker's thread only.
class CurlTransfer {
public:
    /// Makes a handle with the settings that all transfers share; handles are used again for later transfers.
    static EasyHandle makeHandle(const ClientOptions&);

    CurlTransfer(TransferId, ClientRequest, std::unique_ptr<TransferSink>, EasyHandle);

    TransferId id() const { return m_id; }
    CURL* handle() const { return m_handle.get(); }

    /// @return false when the request can't be sent as it is; end() then says why.
    bool prepare();

    /// Delivers the result that follows from libcurl's verdict.
    void end(CURLcode);
    /// Delivers the end of a transfer that was stopped before libcurl ended it.
    void endEarly(TransferEnd, std::string_view detail);

    /// Takes the handle back for another transfer.
    EasyHandle takeHandle() { return std::move(m_handle); }

    /// @return libcurl's verdict on going on after a pause.
    CURLcode resume();

    /// @return when the transfer will have been silent for too long if no byte comes, or TimePoint::max().
    TimePoint silenceDue() const;

    /// @return whether it is certain that no byte of the request has left.
    bool hasSentNothing() const;

private:
    static std::size_t onHeaderLine(char* bytes, std::size_t, std::size_t size, void* transfer);
    static std::size_t onBodyBytes(char* bytes, std::size_t, std::size_t size, void* transfer);
    static int onRequest(void* transfer, char*, char*, int, int);

    bool setHeaders();
    void setMethod();
    bool takeHeaderLine(std::string_view line);
    void deliverHeaders();
    TransferEnd endOf(CURLcode) const;
    int httpStatus() const;

    const TransferId m_id;
    const ClientRequest m_request;
    std::unique_ptr<TransferSink> m_sink;
    EasyHandle m_handle;
    HeaderList m_headerList;
    std::vector<Field> m_fields;
    std::size_t m_headerBytes = 0;
    bool m_headersDelivered = false;
    bool m_requestStarted = false; ///< Set before the first byte may leave.
    bool m_paused = false;
    TimePoint m_lastByte;
    std::string m_problem;
    std::array<char, CURL_ERROR_SIZE> m_errorText = {};
};

} // namespace sagechute::net
