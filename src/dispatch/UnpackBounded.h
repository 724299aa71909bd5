#pragma once

/// @file
/// Reading records that come from other processes.

#include <msgpack.hpp>

#include <string_view>

namespace sagechute::dispatch {

/// Unpacks one object of bytes that anyone may have sent.
///
/// Five bytes can announce a map of a thousand million entries, for which the library then asks for memory; the process
/// would end by std::bad_alloc in the thread that receives datagrams. No list has more entries than there are bytes.
/// @param end where the object began; afterwards where it ended.
/// @throws msgpack::unpack_error for bytes that are no object.
inline msgpack::object_handle unpackBounded(std::string_view bytes, std::size_t& end)
{
    constexpr std::size_t mostDepth = 8; ///< The records have five levels at most.
    const std::size_t most = bytes.size();
    const msgpack::unpack_limit limit(most, most, most, most, most, mostDepth);
    return msgpack::unpack(bytes.data(), bytes.size(), end, nullptr, nullptr, limit);
}

} // namespace sagechute::dispatch
