/// @file
/// Tests that the authenticator accepts only messages signed with an active key, and each of them once.
#include "membership_transport/message_authenticator.h"

#include <gtest/gtest.h>

#include <pcg_random.hpp>

namespace rainhook::membershipTransport {
namespace {

AuthenticationKey keyOf(unsigned char first) {
  AuthenticationKey out{};
  out[0] = first;
  return out;
}

std::string textOf(const std::optional<std::string_view>& verified) {
  return verified ? std::string(*verified) : "nothing";
}

class MessageAuthenticatorTest : public testing::Test {
 protected:
  MessageAuthenticator sender_{{keyOf(1)}, 7};
  MessageAuthenticator receiver_{{keyOf(1)}, 8};
};

/// Guards against replayed messages, and against rejected messages that arrive out of order within the
/// window.
TEST_F(MessageAuthenticatorTest, VerifiesEachMessageOnceWhenWithinTheReplayWindow) {
  std::vector<std::string> sent;
  for (int i = 0; i < 2000; ++i) sent.push_back(sender_.sign(std::to_string(i)));
  EXPECT_EQ(textOf(receiver_.verify(sent[5])), "5");
  EXPECT_EQ(textOf(receiver_.verify(sent[3])), "3");
  EXPECT_EQ(textOf(receiver_.verify(sent[3])), "nothing");
  EXPECT_EQ(textOf(receiver_.verify(sent[1500])), "1500");
  EXPECT_EQ(textOf(receiver_.verify(sent[5])), "nothing");    // verified before
  EXPECT_EQ(textOf(receiver_.verify(sent[100])), "nothing");  // older than the window
  EXPECT_EQ(textOf(receiver_.verify(sent[1400])), "1400");
  EXPECT_EQ(textOf(receiver_.verify(sent[1400])), "nothing");
  EXPECT_EQ(receiver_.counters().replayed, 4u);
}

/// Guards against a message that is accepted twice because the window advanced over stale entries.
TEST_F(MessageAuthenticatorTest, VerifiesEachMessageOnceWhenTheOrderIsRandom) {
  pcg32 random(1);
  std::vector<std::string> sent;
  for (int i = 0; i < 5000; ++i) sent.push_back(sender_.sign("x"));
  int verified = 0;
  std::vector<bool> seen(sent.size(), false);
  for (std::uint32_t i = 0; i < 4500; ++i) {
    const auto index = i + random(400);
    if (!receiver_.verify(sent[index])) continue;
    EXPECT_FALSE(seen[index]);
    seen[index] = true;
    ++verified;
  }
  EXPECT_GT(verified, 2500);
}

/// Guards against instances that reject each other while an operator replaces the key.
TEST_F(MessageAuthenticatorTest, SignsWithTheFirstKeyAndVerifiesWithAllWhenTwoAreActive) {
  MessageAuthenticator twoKeys({keyOf(1), keyOf(2)}, 8);
  MessageAuthenticator newKeyOnly({keyOf(2)}, 9);
  EXPECT_EQ(textOf(twoKeys.verify(sender_.sign("a"))), "a");
  EXPECT_EQ(textOf(twoKeys.verify(newKeyOnly.sign("b"))), "b");
  EXPECT_EQ(textOf(sender_.verify(twoKeys.sign("c"))), "c");
  EXPECT_EQ(textOf(newKeyOnly.verify(twoKeys.sign("d"))), "nothing");
}

/// Guards against accepted messages that were modified or truncated in transit.
TEST_F(MessageAuthenticatorTest, RejectsAMessageWhenAnyBitIsFlippedOrBytesAreMissing) {
  const auto sent = sender_.sign("message");
  for (std::size_t bit = 0; bit < sent.size() * 8; ++bit) {
    auto damaged = sent;
    damaged[bit / 8] = static_cast<char>(damaged[bit / 8] ^ (1 << bit % 8));
    EXPECT_EQ(textOf(receiver_.verify(damaged)), "nothing") << bit;
  }
  for (std::size_t size = 0; size < sent.size(); ++size)
    EXPECT_EQ(textOf(receiver_.verify(sent.substr(0, size))), "nothing");
  EXPECT_EQ(textOf(receiver_.verify(sent)), "message");
}

/// Guards against a changed signature format, which instances of earlier releases would reject. An earlier
/// release produced the expected bytes.
TEST(MessageAuthenticator, ProducesTheRecordedBytesWhenItSigns) {
  MessageAuthenticator sender({keyOf(1)}, 0x0123456789abcdef);
  const auto sent = sender.sign("message");
  EXPECT_EQ(sent.substr(0, 4), "RHM1");
  EXPECT_EQ(sent.substr(4, 16),
            std::string("\x01\x23\x45\x67\x89\xab\xcd\xef\x00\x00\x00\x00\x00\x00\x00\x01", 16));
  EXPECT_EQ(sent.size(), 4u + 16 + 16 + 7);
  EXPECT_EQ(sent.substr(36), "message");
  std::string tag;
  for (const char byte : sent.substr(20, 16)) {
    char hex[3];
    std::snprintf(hex, sizeof hex, "%02x", static_cast<unsigned char>(byte));
    tag += hex;
  }
  EXPECT_EQ(tag, "c8fe7aa3131f22f2f7c916e57f110ba5");
}

}  // namespace
}  // namespace rainhook::membershipTransport
