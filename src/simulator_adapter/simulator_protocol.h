/// @file
/// Decodes the simulator's batches of events and encodes replies with actions. Only this module maps the
/// simulator's fields to the types of the decision module.
///
/// All numbers are little-endian. A frame consists of a 32-bit length and as many bytes.
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

/// The simulator violated the protocol, or its input or output failed.
class ProtocolError : public std::runtime_error {
 public:
  /// @param problem    what is wrong
  /// @param byteOffset the offset in the batch at which decoding failed, if it did
  explicit ProtocolError(const std::string& problem, std::optional<std::size_t> byteOffset = std::nullopt);

  /// The offset in the batch at which decoding failed; empty for other errors.
  [[nodiscard]] std::optional<std::size_t> byteOffset() const { return byteOffset_; }

 private:
  std::optional<std::size_t> byteOffset_;
};

/// The simulator's number of a server instance.
enum class InstanceId : std::uint16_t {};

/// Time of the simulator's clock; unsigned as on the wire.
using SimulatorTime = std::chrono::duration<std::uint64_t, std::nano>;

/// A server instance starts.
struct AttachInstance {
  /// Random seed that the simulator chose; unused, since the admission policy makes no random choices.
  std::uint64_t seed = 0;
  std::string settings;  ///< lines of path=value; see parseSettingsText()
};

/// A server instance ends.
struct DetachInstance {};

/// A timer of the instance has expired.
struct TimerExpired {
  TimerId timer{};                 ///< the number that the instance gave the timer
  std::vector<float> gaugeValues;  ///< in the order of the gauges in the instance's settings
};

/// An event of an instance in a batch. The decoder sets the remaining time of every arrived request. The
/// host clears it if the instance's settings state that clients do not send it.
using SimulatorEvent = std::variant<AttachInstance, DetachInstance, TimerExpired, Event>;

/// An event and its instance.
struct InstanceEvent {
  InstanceId instance{};  ///< the instance that the event belongs to
  SimulatorEvent event;   ///< what happened
};

/// The events of one moment, in order.
struct Batch {
  SimulatorTime clock{};              ///< the time of the events
  std::vector<InstanceEvent> events;  ///< in the order in which they happened
};

/// Decodes a batch.
/// @param body the frame without its length
/// @throws ProtocolError if the body is not a valid batch.
[[nodiscard]] Batch readBatch(std::span<const std::byte> body);

/// Collects the actions of a batch and encodes them as one frame.
class Reply {
 public:
  /// Appends an action of an instance.
  void add(InstanceId instance, const Action& action);
  /// Appends the error of an instance that failed to handle its events.
  void addError(InstanceId instance, std::string_view problem);
  /// Returns the complete frame, including its length.
  [[nodiscard]] std::vector<std::byte> frame() const;

 private:
  std::vector<std::byte> records_;
  std::uint32_t recordCount_ = 0;
};

}  // namespace rainhook::simulator
