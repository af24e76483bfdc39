/// @file
/// SendBuffer keeps bytes in order and returns every buffer to its pool.
#include "net/buffer_pool.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace rainhook::net {
namespace {

RC_GTEST_PROP(SendBuffer, ReturnsAppendedBytesInOrderAndReleasesItsBuffersWhenConsumed,
              (std::vector<std::string> pieces)) {
  BufferPool pool;
  {
    SendBuffer output(pool);
    std::string appended;
    std::string consumed;
    for (auto& piece : pieces) {
      for (int i = 0; i < 6; ++i) piece += piece + "x";
      appended += piece;
      output.append(piece);
    }
    RC_ASSERT(output.size() == appended.size());
    while (!output.empty()) {
      const auto part = output.front().substr(0, 1 + *rc::gen::inRange<std::size_t>(0, 9000));
      consumed += part;
      output.consume(part.size());
    }
    RC_ASSERT(consumed == appended);
    RC_ASSERT(pool.acquiredCount() == 0u);
    output.append("left behind");
  }
  RC_ASSERT(pool.acquiredCount() == 0u);
}

}  // namespace
}  // namespace rainhook::net
