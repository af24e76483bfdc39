/// @file
/// Seeded pseudo-random numbers (PCG, O'Neill 2014): the same seed gives the same course.
#pragma once

#include <cstddef>
#include <cstdint>
#include <pcg_random.hpp>

#include "membership/types.h"

namespace rainhook::membership {

/// The numbers that follow from one seed.
class RandomSource {
 public:
  /// The same seed gives the same numbers.
  explicit RandomSource(std::uint64_t seed) : generator_(seed) {}

  /// A number below `bound`, which is over 0.
  [[nodiscard]] std::size_t below(std::size_t bound) { return generator_(static_cast<std::uint32_t>(bound)); }
  /// A nonce of 64 random bits.
  [[nodiscard]] Nonce nonce() {
    const std::uint64_t high = generator_();
    const std::uint64_t low = generator_();
    return Nonce{high << 32 | low};
  }

 private:
  pcg32 generator_;
};

}  // namespace rainhook::membership
