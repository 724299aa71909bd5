#pragma once

#include <nghttp2/nghttp2.h>

#include <cstddef>
#include <cstdint>

namespace sagechute::peer {

class StreamConnection;

/// Bridges nghttp2's C callbacks to StreamConnection.
struct SessionCallbacks {
    /// @return a session for @p connection, or null when nghttp2 has no memory.
    static nghttp2_session* makeSession(StreamConnection& connection);

    /// Hands queued bytes to nghttp2 as DATA.
    static nghttp2_data_provider dataProvider();

private:
    static nghttp2_session_callbacks* makeTable();
    static int onHeader(nghttp2_session*, const nghttp2_frame*, const std::uint8_t* name, std::size_t nameLength,
        const std::uint8_t* value, std::size_t valueLength, std::uint8_t flags, void* userData);
    static int onBeginHeaders(nghttp2_session*, const nghttp2_frame*, void* userData);
    static int onFrame(nghttp2_session*, const nghttp2_frame*, void* userData);
    static int onData(nghttp2_session*, std::uint8_t flags, std::int32_t streamId, const std::uint8_t* data,
        std::size_t length, void* userData);
    static int onStreamClose(nghttp2_session*, std::int32_t streamId, std::uint32_t errorCode, void* userData);
    static ssize_t readPending(nghttp2_session*, std::int32_t streamId, std::uint8_t* buf, std::size_t length,
        std::uint32_t* flags, nghttp2_data_source*, void* userData);
};

} // namespace sagechute::peer
