// Reads batches from standard input and writes one reply for each to standard output, until the input ends.
#include <cstdio>
#include <cstring>
#include <exception>
#include <string>
#include <vector>

#include "simulator_adapter/simulator_host.h"

namespace {

// False at a clean end of input; a frame cut short is an error.
bool readFrame(std::vector<std::byte>& body) {
  std::uint32_t length = 0;
  const std::size_t head = std::fread(&length, 1, sizeof length, stdin);
  if (head == 0) return false;
  if (head < sizeof length) throw rainhook::simulator::WireError("the input ends within a frame's length");
  body.clear();
  constexpr std::size_t piece = 1 << 20;  // grow as bytes arrive, whatever the length claims
  while (body.size() < length) {
    const std::size_t before = body.size();
    body.resize(std::min<std::size_t>(length, before + piece));
    const std::size_t got = std::fread(body.data() + before, 1, body.size() - before, stdin);
    if (got < body.size() - before)
      throw rainhook::simulator::WireError("the input ends after " + std::to_string(before + got) + " of a frame's " +
                               std::to_string(length) + " bytes");
  }
  return true;
}

}  // namespace

int main() {
  std::size_t frames = 0;
  try {
    rainhook::simulator::Host host;
    std::vector<std::byte> body;
    while (readFrame(body)) {
      ++frames;
      const auto reply = host.answer(rainhook::simulator::readBatch(body)).frame();
      if (std::fwrite(reply.data(), 1, reply.size(), stdout) != reply.size() || std::fflush(stdout) != 0)
        throw rainhook::simulator::WireError("standard output does not take the reply");
    }
    return 0;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "rainhook_simulator_adapter: frame %zu: %s\n", frames, error.what());
    return 1;
  }
}
