/// @file
/// The frames of the simulator: batches of events in, replies with actions out. The mapping between the
/// simulator's fields and the types of the decision module is in this module and nowhere else.
///
/// All numbers are little-endian. A frame is a 32-bit length and that many bytes.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <stdexcept>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "decision/decision.h"

namespace rainhook::simulator {

/// The simulator sent what the protocol does not allow.
class ProtocolError : public std::runtime_error {
 public:
  /// @param problem    what is wrong
  /// @param byteOffset where in the batch the fault was found, if it was found while decoding
  explicit ProtocolError(const std::string& problem, std::optional<std::size_t> byteOffset = std::nullopt);

  /// Where in the batch the fault was found, if it was found while decoding.
  [[nodiscard]] std::optional<std::size_t> byteOffset() const { return byteOffset_; }

 private:
  std::optional<std::size_t> byteOffset_;
};

/// The number under which the simulator knows a server instance.
enum class InstanceId : std::uint16_t {};

/// The simulator's clock; unsigned as on the wire.
using SimulatorTime = std::chrono::duration<std::uint64_t, std::nano>;

/// A server instance starts.
struct AttachInstance {
  std::uint64_t seed = 0;  ///< drawn by the simulator; the admission policy makes no random choices
  std::string settings;    ///< lines of path=value, see parseSettingsText()
};

/// A server instance ends.
struct DetachInstance {};

/// A timer that the instance had set has expired.
struct TimerExpired {
  TimerId timer{};                 ///< the timer, by the number that the instance gave it
  std::vector<float> gaugeValues;  ///< in the order of the instance's settings
};

/// What a batch tells of an instance. The remaining time of an arrived request is as on the wire; whether
/// clients send it is a matter of the instance's settings, which the host knows.
using SimulatorEvent = std::variant<AttachInstance, DetachInstance, TimerExpired, Event>;

/// An event and the instance that it concerns.
struct InstanceEvent {
  InstanceId instance{};  ///< the one that it concerns
  SimulatorEvent event;   ///< what happened
};

/// The events of one moment, in their order.
struct Batch {
  SimulatorTime clock{};              ///< the moment
  std::vector<InstanceEvent> events;  ///< in the order in which they happened
};

/// Decodes a batch.
/// @param body the frame without its length
/// @throws ProtocolError
[[nodiscard]] Batch readBatch(std::span<const std::byte> body);

/// Collects the actions of a batch and encodes them as one frame.
class Reply {
 public:
  /// Appends an action of an instance.
  void add(InstanceId instance, const Action& action);
  /// Appends that an instance failed to handle its events.
  void addError(InstanceId instance, std::string_view problem);
  /// The whole frame, its length included.
  [[nodiscard]] std::vector<std::byte> frame() const;

 private:
  std::vector<std::byte> records_;
  std::uint32_t recordCount_ = 0;
};

}  // namespace rainhook::simulator
