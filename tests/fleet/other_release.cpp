// Another release of the program: all the same but for its messages. RAINHOOK_OLDER leaves out, and passes
// over, what came last to each of them; otherwise it is a later one, which says more at the end of each.
#include <algorithm>
#include <chrono>
#include <cmath>
#include <msgpack.hpp>
#include <utility>

#define packed packedOfThisRelease
#define unpacked unpackedOfThisRelease
#include "membership/message_codec.cpp"
#undef packed
#undef unpacked

namespace rainhook::membership {
namespace {

using Buffer = msgpack::sbuffer;
constexpr std::uint32_t from = 1, about = 5, rumours = 7, digests = 8;  // places in a message

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
  const auto card = [&](const msgpack::object& object) { copy(out, object, 6, more, none); };
  copy(out, handle.get(), older ? 9 : any, 2 * more, [&](std::uint32_t i, const msgpack::object& part) {
    if (i == from || i == about) return card(part), true;
    if (i != rumours && i != digests) return false;
    out.pack_array(part.via.array.size);
    for (std::uint32_t k = 0; k < part.via.array.size; ++k)
      if (i == rumours)  // without the age of a hearing; a later one says more of whom it is about
        copy(out, part.via.array.ptr[k], older ? 3 : any, more,
             [&](std::uint32_t at, const msgpack::object& who) {
               return at == 1 ? (card(who), true) : false;
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

std::string packed(const Message& message, std::size_t most, std::size_t* rumoursTaken,
                   std::size_t* digestsTaken) {
  // What a later one adds has to fit too.
  return changed(packedOfThisRelease(message, isOlder ? most : most * 2 / 3, rumoursTaken, digestsTaken),
                 isOlder);
}
std::optional<Message> unpacked(std::string_view bytes) {
  if (!isOlder) return unpackedOfThisRelease(bytes);
  // An older one takes each hearing for new.
  auto out = unpackedOfThisRelease(bytes);
  if (!out) return out;
  for (auto& rumour : out->rumours) rumour.heard = Span{};
  for (auto& digest : out->digests) digest.digest.fleet = 0;
  return out;
}

}  // namespace rainhook::membership
