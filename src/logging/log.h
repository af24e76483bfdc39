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

/// The subject of a line. Each category has its own rate limit.
enum class LogCategory {
  start,       ///< Start, configuration, periodic statistics.
  drain,       ///< Graceful shutdown.
  engine,      ///< The execution engine's connection.
  downstream,  ///< Calls to the downstream service.
  registry,    ///< Reports to the endpoint registry.
  listener,    ///< Client connections and requests.
  membership,  ///< Failure detection and gossip among the instances.
  count,       ///< Not a category: the number of categories.
};

/// Writes lines to standard error and never blocks: a line that standard error does not accept immediately is
/// lost. The log suppresses lines that exceed their category's limit in one second and reports their number
/// with the category's first line after that second. Not thread-safe.
class Log {
 public:
  /// The format of lines: plain text, or one JSON object per line.
  enum class Format { text, json };

  /// A named value of an event.
  struct Field {
    /// The key in the JSON format.
    std::string_view name;
    /// The value; the JSON format keeps its type.
    std::variant<std::string, std::int64_t, double, bool> value;
  };

  /// @param format the format of lines
  /// @param instance the name of this instance, which every line of the JSON format contains
  explicit Log(Format format = Format::text, std::string instance = {});
  ~Log();
  Log(const Log&) = delete;
  Log& operator=(const Log&) = delete;

  /// Writes a free-text line. In the JSON format its `event` is `message` and its `text` is the text.
  template <typename... Args>
  void message(LogCategory category, fmt::format_string<Args...> text, Args&&... args) {
    if (admit(category)) write(category, messageEvent, fmt::format(text, std::forward<Args>(args)...), {});
  }
  /// Writes a structured line with a name and fields. In the text format the fields follow the name.
  void event(LogCategory category, std::string_view name, std::initializer_list<Field> fields) {
    if (admit(category)) write(category, name, {}, fields);
  }

 private:
  using Clock = std::chrono::steady_clock;
  static constexpr std::string_view messageEvent = "message";

  /// The lines of a category in its current second.
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
