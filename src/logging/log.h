/// @file
/// The program's log: rate-limited lines on standard error, as text or as JSON.
#pragma once

#include <fmt/format.h>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

namespace spdlog {
class logger;
}

namespace rainhook::logging {

/// What a line is about; each category has a rate limit of its own.
enum class LogCategory {
  start,       ///< Start, configuration, periodic statistics.
  drain,       ///< Graceful shutdown.
  engine,      ///< The execution engine's connection.
  downstream,  ///< Calls of the downstream service.
  registry,    ///< Reports to the endpoint registry.
  listener,    ///< Clients' connections and requests.
  membership,  ///< Failure detection and gossip among the instances.
  count,       ///< No category: how many there are.
};

/// Writes lines, and never waits for whoever reads them: a line that standard error does not take at once is
/// lost. Lines beyond a category's limit in one second are suppressed, and counted with the next second's
/// first. For one thread only.
class Log {
 public:
  /// How lines are written: for people, or one JSON object a line.
  enum class Format { text, json };

  /// A named value of an event.
  struct Field {
    /// Its key in the JSON format.
    std::string_view name;
    /// Written as a JSON value of the same type.
    std::variant<std::string, std::int64_t, double, bool> value;
  };

  /// `instance` stands in every line of the JSON format.
  explicit Log(Format format = Format::text, std::string instance = {});
  ~Log();
  Log(const Log&) = delete;
  Log& operator=(const Log&) = delete;

  /// A line for people; as JSON its event is `message` and its text stands under `text`.
  template <typename... Args>
  void message(LogCategory category, fmt::format_string<Args...> text, Args&&... args) {
    if (admit(category)) write(category, messageEvent, fmt::format(text, std::forward<Args>(args)...), {});
  }
  /// A line for programs, known by its name and fields; as text they follow the name.
  void event(LogCategory category, std::string_view name, std::initializer_list<Field> fields) {
    if (admit(category)) write(category, name, {}, fields);
  }

 private:
  using Clock = std::chrono::steady_clock;
  static constexpr std::string_view messageEvent = "message";

  /// What a category has written in its current second.
  struct RateWindow {
    Clock::time_point since{};
    int written = 0;
    int suppressed = 0;
  };

  bool admit(LogCategory category);
  void write(LogCategory category, std::string_view event, const std::string& text,
             std::initializer_list<Field> fields);
  void writeJson(LogCategory category, std::string_view event, const std::string& text,
                 std::initializer_list<Field> fields);
  void writeText(std::string_view event, const std::string& text, std::initializer_list<Field> fields);

  const Format format_;
  const std::string instance_;
  std::unique_ptr<spdlog::logger> logger_;
  std::array<RateWindow, static_cast<std::size_t>(LogCategory::count)> windows_;
};

}  // namespace rainhook::logging
