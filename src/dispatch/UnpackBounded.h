#pragma once

/// @file
/// Decoding of msgpack records from other processes.

#include <msgpack.hpp>

#include <string_view>

namespace sagechute::dispatch {

/// Unpacks one object from untrusted bytes.
///
/// Five bytes can declare a map of 10^9 entries, for which the library would try to allocate memory, and std::bad_alloc
/// would terminate the process in the thread that receives datagrams. No container can have more entries than there are
/// bytes, so the number of bytes is the limit for all containers.
/// @param end offset of the object; set to the offset after it.
/// @throws msgpack::unpack_error if the bytes are not a valid object.
inline msgpack::object_handle unpackBounded(std::string_view bytes, std::size_t& end)
{
    constexpr std::size_t maxDepth = 8; ///< Valid records have at most five levels.
    const std::size_t maxElements = bytes.size();
    const msgpack::unpack_limit limit(maxElements, maxElements, maxElements, maxElements, maxElements, maxDepth);
    return msgpack::unpack(bytes.data(), bytes.size(), end, nullptr, nullptr, limit);
}

} // namespace sagechute::dispatch
