/// @file
/// The error that all codecs throw.
#pragma once

#include <stdexcept>

namespace rainhook::codec {

/// A peer sent bytes that its protocol does not allow. The text describes the violation.
struct ProtocolError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

}  // namespace rainhook::codec
