/// @file
/// Support for recording tests: they run a module on seeded inputs, hash everything it decides and compare
/// the hashes with a file under tests/data. A recording does not check that the decisions are right. It
/// checks that a change that must not alter the behaviour, such as a rename, does not alter it.
///
/// After a change that is meant to alter the decisions, record again and review the change with the other
/// tests:
///   RAINHOOK_RECORD=1 rainhook_tests --gtest_filter='*Recording.*'
/// Such a run always fails, so that recording again cannot make a test pass.
///
/// All random values are integers from the generator in this file, so inputs are the same on every machine.
/// The modules compute with doubles, so a recording is valid for x86-64 at any optimization level that
/// conforms to IEEE 754.
#pragma once

#include <gtest/gtest.h>

#include <array>
#include <bit>
#include <cstdint>
#include <cstdlib>
#include <fstream>
#include <iomanip>
#include <sstream>
#include <string>
#include <string_view>
#include <vector>

namespace rainhook::recording {

/// SplitMix64 (Steele, Lea, Flood, OOPSLA 2014) with integer distributions that are independent of the
/// standard library.
class SplitMix64 {
 public:
  explicit SplitMix64(std::uint64_t seed) : state_(seed) {}

  std::uint64_t next() {
    state_ += 0x9e3779b97f4a7c15;
    std::uint64_t mixed = state_;
    mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9;
    mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111eb;
    return mixed ^ (mixed >> 31);
  }

  /// Returns an integer from `least` to `most`, both included.
  std::int64_t between(std::int64_t least, std::int64_t most) {
    const auto width = static_cast<std::uint64_t>(most - least + 1);
    return least + static_cast<std::int64_t>(next() % width);
  }

  /// Returns an index below `size`.
  std::size_t index(std::size_t size) { return static_cast<std::size_t>(next() % size); }

  /// Returns true with a probability of `percentage` percent.
  bool percent(int percentage) { return between(0, 99) < percentage; }

  /// Returns a multiple of 0.001. A single division of two integers is rounded the same on every machine.
  double thousandths(std::int64_t least, std::int64_t most) {
    return static_cast<double>(between(least, most)) / 1000;
  }

  template <typename Value, std::size_t size>
  Value oneOf(const std::array<Value, size>& values) {
    return values[index(size)];
  }

 private:
  std::uint64_t state_;
};

/// FNV-1a over 64-bit words, lowest byte first. Doubles are hashed by their bit patterns.
class Fnv1aHash {
 public:
  void add(std::uint64_t word) {
    for (int shift = 0; shift < 64; shift += 8) {
      value_ ^= (word >> shift) & 0xff;
      value_ *= 0x100000001b3;
    }
  }
  void add(double number) { add(std::bit_cast<std::uint64_t>(number)); }
  void add(bool flag) { add(std::uint64_t{flag ? 1U : 0U}); }
  void add(std::string_view text) {
    add(std::uint64_t{text.size()});
    for (const char letter : text) add(std::uint64_t{static_cast<unsigned char>(letter)});
  }
  [[nodiscard]] std::uint64_t value() const { return value_; }

 private:
  std::uint64_t value_ = 0xcbf29ce484222325;
};

/// One run of the module, which is one line of the recording.
struct RecordedRun {
  std::string name;                   ///< one word that is unique in the file
  std::vector<std::uint64_t> hashes;  ///< the running hash after each group of steps
};

inline std::string formatRun(const RecordedRun& run) {
  std::ostringstream line;
  line << run.name << std::hex << std::setfill('0');
  for (const std::uint64_t hash : run.hashes) line << ' ' << std::setw(16) << hash;
  return line.str();
}

inline std::vector<std::string> readLines(const std::string& path) {
  std::ifstream in(path);
  std::vector<std::string> lines;
  for (std::string line; std::getline(in, line);) lines.push_back(line);
  return lines;
}

inline bool isRecordingRequested() {
  const char* requested = std::getenv("RAINHOOK_RECORD");
  return requested && std::string_view(requested) == "1";
}

inline void writeRecording(const std::string& path, const std::vector<RecordedRun>& runs) {
  std::ofstream out(path);
  for (const RecordedRun& run : runs) out << formatRun(run) << '\n';
}

/// Describes the first word in which two lines differ, which identifies the group of steps.
inline std::string describeDifference(const std::string& recorded, const std::string& actual) {
  std::istringstream recordedWords(recorded);
  std::istringstream actualWords(actual);
  std::string recordedWord;
  std::string actualWord;
  int word = 0;
  while (recordedWords >> recordedWord && actualWords >> actualWord && recordedWord == actualWord) ++word;
  return "run " + actual.substr(0, actual.find(' ')) + " differs first in word " + std::to_string(word) +
         " of its line (word 0 is its name)";
}

/// Fails unless the runs equal the recording tests/data/`fileName`.
inline void expectMatchesRecording(const std::string& fileName, const std::vector<RecordedRun>& runs) {
  const std::string path = std::string(RAINHOOK_SOURCES "/tests/data/") + fileName;
  if (isRecordingRequested()) {
    writeRecording(path, runs);
    FAIL() << "recorded again and not compared: " << path;
  }
  const std::vector<std::string> recorded = readLines(path);
  ASSERT_EQ(recorded.size(), runs.size()) << path;
  int differences = 0;
  for (std::size_t i = 0; i < runs.size(); ++i) {
    const std::string actual = formatRun(runs[i]);
    if (recorded[i] == actual) continue;
    ++differences;
    if (differences <= 10) ADD_FAILURE() << describeDifference(recorded[i], actual);
  }
  EXPECT_EQ(differences, 0) << "differing runs out of " << runs.size();
}

}  // namespace rainhook::recording
