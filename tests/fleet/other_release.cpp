/// @file
/// Another release of the program, which differs from this one only in its messages. With RAINHOOK_OLDER it
/// is an older release, which omits and ignores the fields that were added last to each kind of message.
/// Otherwise it is a later release, which appends additional fields.
#include <algorithm>
#include <chrono>
#include <cmath>
#include <msgpack.hpp>
#include <utility>

#define encodeMessage encodeMessageOfThisRelease
#define decodeMessage decodeMessageOfThisRelease
#include "membership/message_codec.cpp"
#undef encodeMessage
#undef decodeMessage

namespace rainhook::membership {
namespace {

using Buffer = msgpack::sbuffer;
/// Positions of these fields in an encoded message.
constexpr std::uint32_t senderField = 1, subjectField = 5, updatesField = 7, statusesField = 8;

/// Copies at most `maxSize` elements of an array and appends `addedCount` additional ones. `copyElement` may
/// copy an element itself and then returns true; all other elements are copied unchanged.
template <typename CopyElement>
void copyArray(Packer& out, const msgpack::object& object, std::uint32_t maxSize, std::uint32_t addedCount,
               CopyElement copyElement) {
  const auto& array = object.via.array;
  const auto size = std::min(array.size, maxSize);
  out.pack_array(size + addedCount);
  for (std::uint32_t i = 0; i < size; ++i)
    if (!copyElement(i, array.ptr[i])) out.pack(array.ptr[i]);
  for (std::uint32_t i = 0; i < addedCount; ++i) out.pack(std::string("later"));
}
constexpr auto copyUnchanged = [](std::uint32_t, const msgpack::object&) { return false; };

/// Converts an encoded message of this release to one of an older or a later release.
std::string convertMessage(std::string_view bytes, bool toOlder) {
  const auto handle = msgpack::unpack(bytes.data(), bytes.size());
  Buffer buffer;
  Packer out(buffer);
  const std::uint32_t unlimited = ~std::uint32_t{0};
  const std::uint32_t addedCount = toOlder ? 0 : 1;
  const auto copyMember = [&](const msgpack::object& object) {
    copyArray(out, object, 6, addedCount, copyUnchanged);
  };
  const auto copyField = [&](std::uint32_t field, const msgpack::object& part) {
    if (field == senderField || field == subjectField) return copyMember(part), true;
    if (field != updatesField && field != statusesField) return false;
    out.pack_array(part.via.array.size);
    for (std::uint32_t i = 0; i < part.via.array.size; ++i)
      // An older release omits the age of the observation in an update. In a status it omits the fleet size
      // by which the dependency quota is divided. A later release also extends the member that an update
      // contains.
      if (field == updatesField)
        copyArray(out, part.via.array.ptr[i], toOlder ? 3 : unlimited, addedCount,
                  [&](std::uint32_t position, const msgpack::object& member) {
                    return position == 1 ? (copyMember(member), true) : false;
                  });
      else
        copyArray(out, part.via.array.ptr[i], toOlder ? 10 : unlimited, addedCount, copyUnchanged);
    return true;
  };
  copyArray(out, handle.get(), toOlder ? 9 : unlimited, 2 * addedCount, copyField);
  return {buffer.data(), buffer.size()};
}

#ifdef RAINHOOK_OLDER
constexpr bool isOlder = true;
#else
constexpr bool isOlder = false;
#endif

}  // namespace

EncodedMessage encodeMessage(const Message& message, std::size_t maxBytes) {
  // Leaves space for the fields that a later release adds.
  auto encoded = encodeMessageOfThisRelease(message, isOlder ? maxBytes : maxBytes * 2 / 3);
  encoded.bytes = convertMessage(encoded.bytes, isOlder);
  return encoded;
}
std::optional<Message> decodeMessage(std::string_view bytes) {
  if (!isOlder) return decodeMessageOfThisRelease(bytes);
  // An older release treats each observation as new and does not know the advertised fleet size.
  auto out = decodeMessageOfThisRelease(bytes);
  if (!out) return out;
  for (auto& update : out->updates) update.observed = Duration{};
  for (auto& entry : out->statuses) entry.status.advertisedFleetSize = 0;
  return out;
}

}  // namespace rainhook::membership
