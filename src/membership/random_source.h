/// @file
/// Seeded pseudo-random numbers (PCG, O'Neill 2014): the same seed gives the same sequence.
#pragma once

#include <cstddef>
#include <cstdint>
#include <pcg_random.hpp>

#include "membership/types.h"

namespace rainhook::membership {

/// A deterministic sequence of pseudo-random numbers.
class RandomSource {
 public:
  /// Starts the sequence that belongs to the seed.
  explicit RandomSource(std::uint64_t seed) : generator_(seed) {}

  /// Returns a number from 0 to `bound` - 1; `bound` must be greater than 0.
  [[nodiscard]] std::size_t below(std::size_t bound) { return generator_(static_cast<std::uint32_t>(bound)); }
  /// Returns a nonce of 64 random bits.
  [[nodiscard]] Nonce nonce() {
    const std::uint64_t high = generator_();
    const std::uint64_t low = generator_();
    return Nonce{high << 32 | low};
  }

 private:
  pcg32 generator_;
};

}  // namespace rainhook::membership
