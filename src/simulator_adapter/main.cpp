/// @file
/// The program that the simulator starts. It reads batches from standard input and writes one reply per batch
/// to standard output until the input ends.
#include <algorithm>
#include <cstdio>
#include <cstring>
#include <exception>
#include <string>
#include <vector>

#include "simulator_adapter/simulator_host.h"

namespace {

using rainhook::simulator::ProtocolError;

// The buffer grows in steps of this size as bytes arrive, so that a wrong frame length does not cause a large
// allocation.
constexpr std::size_t maxBytesPerRead = 1 << 20;

// Returns false if the input ends before a frame. Throws if it ends within the length of a frame.
bool readLength(std::uint32_t& length) {
  const std::size_t received = std::fread(&length, 1, sizeof length, stdin);
  if (received == 0) return false;
  if (received < sizeof length)
    throw ProtocolError("input ends after " + std::to_string(received) +
                        " of the 4 bytes of a frame's length");
  return true;
}

// Returns false if the input ends before a frame. Throws if it ends within a frame.
bool readFrame(std::vector<std::byte>& body) {
  std::uint32_t length = 0;
  if (!readLength(length)) return false;
  body.clear();
  while (body.size() < length) {
    const std::size_t before = body.size();
    body.resize(std::min<std::size_t>(length, before + maxBytesPerRead));
    const std::size_t received = std::fread(body.data() + before, 1, body.size() - before, stdin);
    if (received < body.size() - before)
      throw ProtocolError("input ends after " + std::to_string(before + received) + " of a frame's " +
                          std::to_string(length) + " bytes");
  }
  return true;
}

void writeFrame(const std::vector<std::byte>& frame) {
  if (std::fwrite(frame.data(), 1, frame.size(), stdout) != frame.size() || std::fflush(stdout) != 0)
    throw ProtocolError("cannot write the reply of " + std::to_string(frame.size()) +
                        " bytes to standard output");
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
