#include "peer/SessionCallbacks.h"

#include "peer/StreamConnection.h"

#include <algorithm>

namespace sagechute::peer {
namespace {

    constexpr std::size_t kLongestHeader = 256;
    constexpr std::size_t kKeptConsumedBytes = 64 << 10;

    StreamConnection& connectionOf(void* userData) { return *static_cast<StreamConnection*>(userData); }

    std::string_view viewOf(const std::uint8_t* bytes, std::size_t length)
    {
        return { reinterpret_cast<const char*>(bytes), length };
    }

} // namespace

nghttp2_session_callbacks* SessionCallbacks::makeTable()
{
    nghttp2_session_callbacks* table = nullptr;
    if (nghttp2_session_callbacks_new(&table) != 0)
        return nullptr;
    nghttp2_session_callbacks_set_on_begin_headers_callback(table, onBeginHeaders);
    nghttp2_session_callbacks_set_on_header_callback(table, onHeader);
    nghttp2_session_callbacks_set_on_frame_recv_callback(table, onFrame);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(table, onData);
    nghttp2_session_callbacks_set_on_stream_close_callback(table, onStreamClose);
    return table;
}

nghttp2_session* SessionCallbacks::makeSession(StreamConnection& connection)
{
    static nghttp2_session_callbacks* const table = makeTable();
    nghttp2_session* session = nullptr;
    if (connection.m_role == ConnectionRole::Opener)
        nghttp2_session_client_new(&session, table, &connection);
    else
        nghttp2_session_server_new(&session, table, &connection);
    return session;
}

nghttp2_data_provider SessionCallbacks::dataProvider()
{
    nghttp2_data_provider provider {};
    provider.read_callback = readPending;
    return provider;
}

int SessionCallbacks::onBeginHeaders(nghttp2_session*, const nghttp2_frame* frame, void* userData)
{
    StreamConnection& connection = connectionOf(userData);
    if (connection.m_role == ConnectionRole::Opener)
        return 0;
    if (connection.m_streamId >= 0 && connection.m_streamId != frame->hd.stream_id)
        return NGHTTP2_ERR_CALLBACK_FAILURE;
    connection.m_streamId = frame->hd.stream_id;
    return 0;
}

int SessionCallbacks::onHeader(nghttp2_session*, const nghttp2_frame*, const std::uint8_t* name, std::size_t nameLength,
    const std::uint8_t* value, std::size_t valueLength, std::uint8_t, void* userData)
{
    struct HeaderField {
        std::string_view name;
        std::string StreamConnection::*member;
    };
    static constexpr HeaderField kFields[] = {
        { ":method", &StreamConnection::m_remoteMethod },
        { ":path", &StreamConnection::m_remotePath },
        { ":status", &StreamConnection::m_remoteStatus },
        { kLifeHeader, &StreamConnection::m_remoteLife },
        { kNonceHeader, &StreamConnection::m_remoteNonce },
        { kProofHeader, &StreamConnection::m_remoteProof },
    };
    if (valueLength > kLongestHeader)
        return NGHTTP2_ERR_CALLBACK_FAILURE;
    const std::string_view wanted = viewOf(name, nameLength);
    for (const HeaderField& field : kFields) {
        if (field.name == wanted)
            connectionOf(userData).*field.member = viewOf(value, valueLength);
    }
    return 0;
}

int SessionCallbacks::onFrame(nghttp2_session*, const nghttp2_frame* frame, void* userData)
{
    StreamConnection& connection = connectionOf(userData);
    if (frame->hd.type == NGHTTP2_PING && (frame->hd.flags & NGHTTP2_FLAG_ACK)) {
        connection.m_pingSentAt.reset();
        connection.m_lastAnswer = connection.m_now;
        return 0;
    }
    if (frame->hd.type == NGHTTP2_HEADERS) {
        if (connection.m_role == ConnectionRole::Acceptor)
            connection.answerOpening();
        else
            connection.handleAnswer();
    }
    const bool ofStream = frame->hd.type == NGHTTP2_HEADERS || frame->hd.type == NGHTTP2_DATA;
    if (ofStream && (frame->hd.flags & NGHTTP2_FLAG_END_STREAM))
        connection.peerEnded();
    return 0;
}

int SessionCallbacks::onData(
    nghttp2_session*, std::uint8_t, std::int32_t, const std::uint8_t* data, std::size_t length, void* userData)
{
    StreamConnection& connection = connectionOf(userData);
    const bool usable = connection.m_framer.feed(
        viewOf(data, length), [&connection](std::string_view message) { return connection.takeMessage(message); });
    return usable ? 0 : NGHTTP2_ERR_CALLBACK_FAILURE;
}

int SessionCallbacks::onStreamClose(nghttp2_session*, std::int32_t, std::uint32_t errorCode, void* userData)
{
    connectionOf(userData).streamClosed(errorCode);
    return 0;
}

ssize_t SessionCallbacks::readPending(nghttp2_session*, std::int32_t, std::uint8_t* buf, std::size_t length,
    std::uint32_t* flags, nghttp2_data_source*, void* userData)
{
    StreamConnection& connection = connectionOf(userData);
    std::string& pending = connection.m_pending;
    std::size_t& offset = connection.m_pendingOffset;
    const std::size_t n = std::min(length, pending.size() - offset);
    std::copy_n(pending.data() + offset, n, buf);
    offset += n;
    const bool isEmpty = offset == pending.size();
    if (isEmpty) {
        pending.clear();
        offset = 0;
    } else if (offset > kKeptConsumedBytes) {
        pending.erase(0, offset);
        offset = 0;
    }
    if (isEmpty && connection.m_endWanted) {
        *flags |= NGHTTP2_DATA_FLAG_EOF;
        return static_cast<ssize_t>(n);
    }
    connection.m_deferred = n == 0;
    return n == 0 ? static_cast<ssize_t>(NGHTTP2_ERR_DEFERRED) : static_cast<ssize_t>(n);
}

} // namespace sagechute::peer
