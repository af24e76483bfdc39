// Another release of the program: all the same but for its messages. RAINHOOK_OLDER leaves out, and passes
// over, what came last to each of them; otherwise it is a later one, which says more at the end of each.
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
constexpr std::uint32_t from = 1, about = 5, updates = 7, statuses = 8;  // places in a message

// The elements of an array, some of them by another hand; `last` of them at most, and `more` behind.
template <typename Other>
void copy(Packer& out, const msgpack::object& object, std::uint32_t last, std::uint32_t more, Other other) {
  const auto& array = object.via.array;
  const auto size = std::min(array.size, last);
  out.pack_array(size + more);
  for (std::uint32_t i = 0; i < size; ++i)
    if (!other(i, array.ptr[i])) out.pack(array.ptr[i]);
  for (std::uint32_t i = 0; i < more; ++i) out.pack(std::string("later"));
}
constexpr auto none = [](std::uint32_t, const msgpack::object&) { return false; };

std::string changed(std::string_view bytes, bool older) {
  const auto handle = msgpack::unpack(bytes.data(), bytes.size());
  Buffer buffer;
  Packer out(buffer);
  const std::uint32_t any = ~std::uint32_t{0}, more = older ? 0 : 1;
  const auto record = [&](const msgpack::object& object) { copy(out, object, 6, more, none); };
  copy(out, handle.get(), older ? 9 : any, 2 * more, [&](std::uint32_t i, const msgpack::object& part) {
    if (i == from || i == about) return record(part), true;
    if (i != updates && i != statuses) return false;
    out.pack_array(part.via.array.size);
    for (std::uint32_t k = 0; k < part.via.array.size; ++k)
      if (i == updates)  // without the age of a hearing; a later one says more of whom it is about
        copy(out, part.via.array.ptr[k], older ? 3 : any, more,
             [&](std::uint32_t at, const msgpack::object& who) {
               return at == 1 ? (record(who), true) : false;
             });
      else  // without the fleet by which the dependency is divided
        copy(out, part.via.array.ptr[k], older ? 10 : any, more, none);
    return true;
  });
  return {buffer.data(), buffer.size()};
}

#ifdef RAINHOOK_OLDER
constexpr bool isOlder = true;
#else
constexpr bool isOlder = false;
#endif

}  // namespace

EncodedMessage encodeMessage(const Message& message, std::size_t maxBytes) {
  // What a later one adds has to fit too.
  auto encoded = encodeMessageOfThisRelease(message, isOlder ? maxBytes : maxBytes * 2 / 3);
  encoded.bytes = changed(encoded.bytes, isOlder);
  return encoded;
}
std::optional<Message> decodeMessage(std::string_view bytes) {
  if (!isOlder) return decodeMessageOfThisRelease(bytes);
  // An older one takes each hearing for new.
  auto out = decodeMessageOfThisRelease(bytes);
  if (!out) return out;
  for (auto& update : out->updates) update.observed = Duration{};
  for (auto& entry : out->statuses) entry.status.advertisedFleetSize = 0;
  return out;
}

}  // namespace rainhook::membership
