/// @file
/// The program that the simulator starts: reads batches from standard input and writes one reply for each to
/// standard output, until the input ends.
#include <algorithm>
#include <cstdio>
#include <cstring>
#include <exception>
#include <string>
#include <vector>

#include "simulator_adapter/simulator_host.h"

namespace {

using rainhook::simulator::ProtocolError;

// The buffer grows as bytes arrive, whatever length a frame claims.
constexpr std::size_t maxBytesPerRead = 1 << 20;

// False at a clean end of the input; a frame cut short is an error.
bool readLength(std::uint32_t& length) {
  const std::size_t received = std::fread(&length, 1, sizeof length, stdin);
  if (received == 0) return false;
  if (received < sizeof length) throw ProtocolError("the input ends within a frame's length");
  return true;
}

bool readFrame(std::vector<std::byte>& body) {
  std::uint32_t length = 0;
  if (!readLength(length)) return false;
  body.clear();
  while (body.size() < length) {
    const std::size_t before = body.size();
    body.resize(std::min<std::size_t>(length, before + maxBytesPerRead));
    const std::size_t received = std::fread(body.data() + before, 1, body.size() - before, stdin);
    if (received < body.size() - before)
      throw ProtocolError("the input ends after " + std::to_string(before + received) + " of a frame's " +
                          std::to_string(length) + " bytes");
  }
  return true;
}

void writeFrame(const std::vector<std::byte>& frame) {
  if (std::fwrite(frame.data(), 1, frame.size(), stdout) != frame.size() || std::fflush(stdout) != 0)
    throw ProtocolError("standard output does not take the reply");
}

}  // namespace

int main() {
  std::size_t frames = 0;
  try {
    rainhook::simulator::SimulatorHost host;
    std::vector<std::byte> body;
    while (readFrame(body)) {
      ++frames;
      writeFrame(host.handle(rainhook::simulator::readBatch(body)).frame());
    }
    return 0;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "rainhook_simulator_adapter: frame %zu: %s\n", frames, error.what());
    return 1;
  }
}
