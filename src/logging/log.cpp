#include "logging/log.h"

#include <poll.h>
#include <spdlog/logger.h>
#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/base_sink.h>
#include <unistd.h>

#include <nlohmann/json.hpp>

namespace rainhook::logging {
namespace {

constexpr const char* matters[] = {"start", "drain", "engine", "servers", "list", "clients", "membership"};
// Of membership a fleet's worth at once, since its lines are changes of state, bounded where they are
// decided.
constexpr int linesASecond[] = {5, 5, 5, 5, 5, 5, 200};

// Standard error, as long as whoever reads it takes more.
class Waitless final : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
 private:
  void sink_it_(const spdlog::details::log_msg& message) override {
    spdlog::memory_buf_t text;
    formatter_->format(message, text);
    pollfd out{STDERR_FILENO, POLLOUT, 0};
    if (::poll(&out, 1, 0) != 1 || (out.revents & POLLOUT) == 0) return;
    [[maybe_unused]] const auto written = ::write(STDERR_FILENO, text.data(), text.size());
  }
  void flush_() override {}
};

}  // namespace

Log::Log(Form form, std::string who)
    : form_(form),
      who_(std::move(who)),
      logger_(std::make_unique<spdlog::logger>("rainhook", std::make_shared<Waitless>())) {
  logger_->set_formatter(std::make_unique<spdlog::pattern_formatter>(
      form == Form::text ? "%H:%M:%S.%e %v" : "%v", spdlog::pattern_time_type::utc));
}

Log::~Log() = default;

bool Log::mayWrite(LogCategory matter) {
  const auto of = static_cast<std::size_t>(matter);
  Allowance& allowance = allowances_[of];
  const auto now = Clock::now();
  if (now - allowance.since >= std::chrono::seconds(1)) {
    if (allowance.left > 0)
      write(matter, "left out", fmt::format("{} more lines of this kind were left out", allowance.left), {});
    allowance = {now, 0, 0};
  }
  if (++allowance.lines <= linesASecond[of]) return true;
  ++allowance.left;
  return false;
}

void Log::write(LogCategory matter, std::string_view event, const std::string& text,
                std::initializer_list<Field> fields) {
  if (form_ == Form::json) {
    const auto wall = std::chrono::system_clock::now().time_since_epoch();
    nlohmann::ordered_json line{
        {"time_ms", std::chrono::duration_cast<std::chrono::milliseconds>(wall).count()},
        {"steady_ns", std::chrono::nanoseconds(Clock::now().time_since_epoch()).count()},
        {"who", who_},
        {"matter", matters[static_cast<std::size_t>(matter)]},
        {"event", event}};
    if (!text.empty()) line["text"] = text;
    for (const auto& field : fields)
      std::visit([&](const auto& value) { line[std::string(field.name)] = value; }, field.value);
    return logger_->info("{}", line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
  }
  if (!text.empty()) return logger_->info("{}", text);
  std::string out(event);
  for (const auto& field : fields)
    std::visit([&](const auto& value) { out += fmt::format(" {}={}", field.name, value); }, field.value);
  logger_->info("{}", out);
}

}  // namespace rainhook::logging
