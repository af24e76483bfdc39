/// @file
/// The error of all codecs.
#pragma once

#include <stdexcept>

namespace rainhook::codec {

/// A peer sent bytes that its protocol does not allow. The text says what was wrong with them.
struct ProtocolError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

}  // namespace rainhook::codec
