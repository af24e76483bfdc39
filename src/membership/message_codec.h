// Messages as bytes, by msgpack (https://github.com/msgpack/msgpack/blob/master/spec.md): arrays that may
// grow at their ends, so that an older release passes over what a newer one adds and fills in what it left
// out. No tag and no sealing here.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "membership/messages.h"

namespace rainhook::membership {

inline constexpr std::size_t mostDatagram = 1400, mostState = 512 << 10;
inline constexpr std::size_t longestWord = 64;  // bytes of a name, a zone, a region or an address

// The bytes of the message. Of rumours and digests as many are taken, from the front, as fit into `most`; the
// numbers taken come back by the pointers.
std::string packed(const Message& message, std::size_t most, std::size_t* rumours = nullptr,
                   std::size_t* digests = nullptr);
// Nothing where the bytes are no message, or hold more than the bounds allow.
std::optional<Message> unpacked(std::string_view bytes);

}  // namespace rainhook::membership
