// The log, over spdlog: lines on standard error as text or as JSON, never waiting for whoever reads them. A
// matter has few lines a second; what was left out is told with the next second's first.
#pragma once

#include <fmt/format.h>

#include <array>
#include <chrono>
#include <cstddef>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

namespace spdlog {
class logger;
}

namespace rainhook::logging {

enum class LogCategory { start, drain, engine, servers, list, clients, membership, count };

class Log {
 public:
  enum class Form { text, json };
  // A figure of an event.
  struct Field {
    std::string_view name;
    std::variant<std::string, std::int64_t, double, bool> value;
  };

  // `who` stands in every line of the JSON form.
  explicit Log(Form form = Form::text, std::string who = {});
  ~Log();

  template <typename... Args>
  void message(LogCategory matter, fmt::format_string<Args...> text, Args&&... args) {
    if (mayWrite(matter)) write(matter, "line", fmt::format(text, std::forward<Args>(args)...), {});
  }
  // What a reader may look for by its name and its fields; in text they follow the name.
  void event(LogCategory matter, std::string_view name, std::initializer_list<Field> fields) {
    if (mayWrite(matter)) write(matter, name, {}, fields);
  }

 private:
  using Clock = std::chrono::steady_clock;
  struct Allowance {
    Clock::time_point since{};
    int lines = 0, left = 0;
  };

  bool mayWrite(LogCategory matter);
  void write(LogCategory matter, std::string_view event, const std::string& text,
             std::initializer_list<Field> fields);

  const Form form_;
  const std::string who_;
  std::unique_ptr<spdlog::logger> logger_;
  std::array<Allowance, static_cast<std::size_t>(LogCategory::count)> allowances_;
};

}  // namespace rainhook::logging
