#include "logging/log.h"

#include <poll.h>
#include <spdlog/logger.h>
#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/base_sink.h>
#include <unistd.h>

#include <nlohmann/json.hpp>

namespace rainhook::logging {
namespace {

/// The name of a category in the JSON format, and its rate limit.
struct CategoryProperties {
  std::string_view name;
  int maxLinesPerSecond = 5;
};

/// By LogCategory. The limit of membership is higher, since it may report the changes of a whole fleet at
/// once; the code that decides on these changes bounds their number.
constexpr std::array<CategoryProperties, static_cast<std::size_t>(LogCategory::count)> categories{{
    {"start"},
    {"drain"},
    {"engine"},
    {"downstream"},
    {"registry"},
    {"listener"},
    {"membership", 200},
}};

const CategoryProperties& propertiesOf(LogCategory category) {
  return categories[static_cast<std::size_t>(category)];
}

/// Writes to standard error and drops lines that it does not accept without blocking.
class NonBlockingStderrSink final : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
 private:
  void sink_it_(const spdlog::details::log_msg& message) override {
    spdlog::memory_buf_t text;
    formatter_->format(message, text);
    pollfd standardError{STDERR_FILENO, POLLOUT, 0};
    if (::poll(&standardError, 1, 0) != 1 || (standardError.revents & POLLOUT) == 0) return;
    [[maybe_unused]] const auto written = ::write(STDERR_FILENO, text.data(), text.size());
  }
  void flush_() override {}
};

}  // namespace

Log::Log(Format format, std::string instance)
    : format_(format),
      instance_(std::move(instance)),
      logger_(std::make_unique<spdlog::logger>("rainhook", std::make_shared<NonBlockingStderrSink>())) {
  logger_->set_formatter(std::make_unique<spdlog::pattern_formatter>(
      format == Format::text ? "%H:%M:%S.%e %v" : "%v", spdlog::pattern_time_type::utc));
}

Log::~Log() = default;

bool Log::admit(LogCategory category) {
  RateWindow& window = windows_[static_cast<std::size_t>(category)];
  const auto now = Clock::now();
  if (now - window.since >= std::chrono::seconds(1)) {
    if (window.suppressed > 0)
      write(category, "suppressed",
            fmt::format("suppressed {} messages of category {} above its limit of {} per second",
                        window.suppressed, propertiesOf(category).name,
                        propertiesOf(category).maxLinesPerSecond),
            {});
    window = {now, 0, 0};
  }
  if (++window.written <= propertiesOf(category).maxLinesPerSecond) return true;
  ++window.suppressed;
  return false;
}

void Log::write(LogCategory category, std::string_view event, const std::string& text,
                std::initializer_list<Field> fields) {
  if (format_ == Format::json)
    writeJson(category, event, text, fields);
  else
    writeText(event, text, fields);
}

void Log::writeJson(LogCategory category, std::string_view event, const std::string& text,
                    std::initializer_list<Field> fields) {
  const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  nlohmann::ordered_json line{
      {"time_ms", std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count()},
      {"steady_ns", std::chrono::nanoseconds(Clock::now().time_since_epoch()).count()},
      {"instance", instance_},
      {"category", propertiesOf(category).name},
      {"event", event}};
  if (!text.empty()) line["text"] = text;
  for (const auto& field : fields)
    std::visit([&](const auto& value) { line[std::string(field.name)] = value; }, field.value);
  logger_->info("{}", line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

void Log::writeText(std::string_view event, const std::string& text, std::initializer_list<Field> fields) {
  if (!text.empty()) {
    logger_->info("{}", text);
    return;
  }
  std::string line(event);
  for (const auto& field : fields)
    std::visit([&](const auto& value) { line += fmt::format(" {}={}", field.name, value); }, field.value);
  logger_->info("{}", line);
}

}  // namespace rainhook::logging
